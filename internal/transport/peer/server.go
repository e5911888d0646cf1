package peer

import (
	"context"
	"errors"
	"io"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "chivecroft.example/chivecroft/api/peer/v1"
	"chivecroft.example/chivecroft/api/peer/v1/peerv1connect"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/codec"
)

// Receiver answers the messages of other entries.
type Receiver interface {
	// Gossip takes what another entry knows and tells what this one knows.
	Gossip(ctx context.Context, g ports.Gossip) (ports.Gossip, error)
	// FetchConfig returns the patches after a version.
	FetchConfig(ctx context.Context, f ports.FetchConfig) (ports.ConfigDelta, error)
	// Demand takes note that callers wait for a model.
	Demand(ctx context.Context, d ports.Demand) (ports.DemandReply, error)
	// PullTable waits for changes of the routing table.
	PullTable(ctx context.Context, p ports.PullTable) (ports.TableDelta, error)
	// YieldPermit gives back an unused permit.
	YieldPermit(ctx context.Context, y ports.YieldPermit) (ports.YieldReply, error)
	// TargetNews takes note of what another entry saw of a target.
	TargetNews(ctx context.Context, n ports.TargetNews) error
	// HandOver takes note of shards that are free.
	HandOver(ctx context.Context, h ports.HandOver) error
	// TellCounts keeps what another entry has counted.
	TellCounts(ctx context.Context, t ports.TellCounts) (ports.TellReply, error)
}

// NewHandler returns the HTTP handler of the peer protocol and its path.
func NewHandler(r Receiver) (string, http.Handler) {
	return peerv1connect.NewPeerServiceHandler(server{r},
		connect.WithReadMaxBytes(maxReplyBytes),
		connect.WithCompressMinBytes(compressMinBytes))
}

type server struct{ receiver Receiver }

// Gossip answers a gossip.
func (s server) Gossip(ctx context.Context, req *connect.Request[peerv1.GossipMessage]) (*connect.Response[peerv1.GossipMessage], error) {
	g, err := codec.DecodeGossip(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply, err := s.receiver.Gossip(ctx, g)
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(codec.EncodeGossip(reply)), nil
}

// FetchConfig answers with patches or a whole configuration.
func (s server) FetchConfig(ctx context.Context, req *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.FetchConfigResponse], error) {
	delta, err := s.receiver.FetchConfig(ctx, codec.DecodeFetchConfig(req.Msg))
	if err != nil {
		return nil, failure(err)
	}
	reply, err := codec.EncodeConfigDelta(delta)
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(reply), nil
}

// Demand answers a demand.
func (s server) Demand(ctx context.Context, req *connect.Request[peerv1.DemandRequest]) (*connect.Response[peerv1.DemandResponse], error) {
	reply, err := s.receiver.Demand(ctx, codec.DecodeDemand(req.Msg))
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(codec.EncodeDemandReply(reply)), nil
}

// PullTable answers with changes of the routing table.
func (s server) PullTable(ctx context.Context, req *connect.Request[peerv1.PullTableRequest]) (*connect.Response[peerv1.PullTableResponse], error) {
	delta, err := s.receiver.PullTable(ctx, codec.DecodePullTable(req.Msg))
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(codec.EncodeTableDelta(delta)), nil
}

// YieldPermit answers with what was given back.
func (s server) YieldPermit(ctx context.Context, req *connect.Request[peerv1.YieldPermitRequest]) (*connect.Response[peerv1.YieldPermitResponse], error) {
	reply, err := s.receiver.YieldPermit(ctx, codec.DecodeYieldPermit(req.Msg))
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&peerv1.YieldPermitResponse{Yielded: int32(reply.Yielded)}), nil
}

// TargetNews takes note of a target.
func (s server) TargetNews(ctx context.Context, req *connect.Request[peerv1.TargetNewsRequest]) (*connect.Response[peerv1.TargetNewsResponse], error) {
	if err := s.receiver.TargetNews(ctx, codec.DecodeTargetNews(req.Msg)); err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&peerv1.TargetNewsResponse{}), nil
}

// HandOver takes note of free shards.
func (s server) HandOver(ctx context.Context, req *connect.Request[peerv1.HandOverRequest]) (*connect.Response[peerv1.HandOverResponse], error) {
	if err := s.receiver.HandOver(ctx, codec.DecodeHandOver(req.Msg)); err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&peerv1.HandOverResponse{}), nil
}

// TellCounts keeps what another entry has counted, message by message.
func (s server) TellCounts(ctx context.Context, stream *connect.BidiStream[peerv1.TellCountsRequest, peerv1.TellCountsResponse]) error {
	var origin *peerv1.CountOrigin
	for {
		in, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if in.Origin != nil {
			origin = in.Origin
		}
		if origin == nil {
			return connect.NewError(connect.CodeInvalidArgument, errors.New("counts without an origin"))
		}
		in.Origin = origin
		reply, err := s.receiver.TellCounts(ctx, codec.DecodeTellCounts(in))
		if err != nil {
			return failure(err)
		}
		if err := stream.Send(&peerv1.TellCountsResponse{Resend: reply.Resend}); err != nil {
			return err
		}
	}
}

// failure tells the asker that it may ask again or ask somebody else.
func failure(err error) error {
	return connect.NewError(connect.CodeUnavailable, err)
}
