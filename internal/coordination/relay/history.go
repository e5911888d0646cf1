package relay

import (
	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// maxHistory bounds the patches of one answer.
const maxHistory = 1000

func (p *Part) history(e HistoryAsked) {
	limit := e.Limit
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	p.records(e.After, limit, func(records []config.Record, err error) {
		p.note(HistoryAnswered{ID: e.ID, Records: records, Err: err})
	})
}

// records returns accepted patches after a version: from the log, which knows
// when each was accepted, else from memory.
func (p *Part) records(after config.Version, limit int, then func([]config.Record, error)) {
	p.logRecords(after, limit, nil, func(records []config.Record, err error) {
		if err != nil {
			if remembered, ok := p.recent.after(after, limit, recentBytes); ok {
				records, err = remembered, nil
			}
		}
		then(records, err)
	})
}

// logRecords reads up to limit log entries after a version, page by page.
func (p *Part) logRecords(after config.Version, limit int, have []config.Record, then func([]config.Record, error)) {
	req := ports.KVList{Prefix: logPrefix, After: logKey(after), Limit: min(pageLimit, limit-len(have))}
	p.kv(req, func(r ports.KVReply) {
		if !p.answered("read the log", r.Status) {
			then(nil, unavailable("read the log", r.Status))
			return
		}
		for _, item := range r.Items {
			v, _ := logVersion(item.Key)
			record, err := config.DecodeRecord(v, item.Value)
			if err != nil {
				p.damaged(item.Key, err)
				then(nil, err)
				return
			}
			have = append(have, record)
			after = v
		}
		if !r.More || len(have) >= limit {
			then(have, nil)
			return
		}
		p.logRecords(after, limit, have, then)
	})
}

// read answers with a version: the current one from memory, an older one from
// the snapshot before it and the log between.
func (p *Part) read(e ReadAsked) {
	answer := func(c *config.Config, err error) { p.note(ReadAnswered{ID: e.ID, Config: c, Err: err}) }
	switch {
	case e.Version == 0 || e.Version == p.config.Version:
		answer(p.config, nil)
	case e.Version > p.config.Version:
		answer(nil, trace.NotFound("version %d does not exist yet, the current one is %d", e.Version, p.config.Version))
	default:
		p.rebuild(e.Version, answer)
	}
}

func (p *Part) rebuild(v config.Version, then func(*config.Config, error)) {
	p.readHead(func(head config.Head, _ ports.Revision, err error) {
		if err != nil {
			then(nil, err)
			return
		}
		ref, ok := head.At(v)
		if !ok {
			p.fold(&config.Config{}, v, then)
			return
		}
		p.readSnapshot(ref, func(s config.Snapshot, err error) {
			if err != nil {
				then(nil, err)
				return
			}
			p.fold(s.Config, v, then)
		})
	})
}

// fold applies the log to c up to version v.
func (p *Part) fold(c *config.Config, v config.Version, then func(*config.Config, error)) {
	if c.Version == v {
		then(c, nil)
		return
	}
	p.logRecords(c.Version, int(v-c.Version), nil, func(records []config.Record, err error) {
		for _, record := range records {
			if err == nil {
				c, err = config.Replay(c, record.Patch)
			}
		}
		if err == nil && c.Version != v {
			err = trace.NotFound("version %d is no longer kept", v)
		}
		if err != nil {
			then(nil, err)
			return
		}
		then(c, nil)
	})
}
