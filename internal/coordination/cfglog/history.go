package cfglog

import (
	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// maxHistory limits the patches in one HistoryAnswered.
const maxHistory = 1000

func (p *Part) handleHistory(e HistoryRequested) {
	limit := e.Limit
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	p.recordsAfter(e.After, limit, func(records []config.Record, err error) {
		p.note(HistoryAnswered{ID: e.ID, Records: records, Err: err})
	})
}

// recordsAfter returns accepted patches after a version: from the log, which has the time
// of each patch, or from memory if the log cannot be read.
func (p *Part) recordsAfter(after config.Version, limit int, then func([]config.Record, error)) {
	p.readLogRecords(after, limit, nil, func(records []config.Record, err error) {
		if err != nil {
			if remembered, ok := p.recent.after(after, limit, maxRecentBytes); ok {
				records, err = remembered, nil
			}
		}
		then(records, err)
	})
}

// readLogRecords reads up to limit log entries after a version, page by page.
func (p *Part) readLogRecords(after config.Version, limit int, records []config.Record, then func([]config.Record, error)) {
	req := ports.KVList{Prefix: logPrefix, After: logKey(after), Limit: min(pageLimit, limit-len(records))}
	p.callKV(req, func(r ports.KVReply) {
		if !p.recordReply("read the log", r.Status) {
			then(nil, unavailable("read the log", r.Status))
			return
		}
		for _, item := range r.Items {
			v, _ := logVersion(item.Key)
			record, err := config.DecodeRecord(v, item.Value)
			if err != nil {
				p.reportDamage(item.Key, err)
				then(nil, err)
				return
			}
			records = append(records, record)
			after = v
		}
		if !r.More || len(records) >= limit {
			then(records, nil)
			return
		}
		p.readLogRecords(after, limit, records, then)
	})
}

// handleRead answers with a version of the configuration: the current one from memory, an
// older one from the snapshot before it and the log entries after that.
func (p *Part) handleRead(e ReadRequested) {
	answer := func(c *config.Config, err error) { p.note(ReadAnswered{ID: e.ID, Config: c, Err: err}) }
	switch {
	case e.Version == 0 || e.Version == p.config.Version:
		answer(p.config, nil)
	case e.Version > p.config.Version:
		answer(nil, trace.NotFound("version %d does not exist yet, the current one is %d", e.Version, p.config.Version))
	default:
		p.rebuildVersion(e.Version, answer)
	}
}

func (p *Part) rebuildVersion(v config.Version, then func(*config.Config, error)) {
	p.readHead(func(head config.Head, _ ports.Revision, err error) {
		if err != nil {
			then(nil, err)
			return
		}
		ref, ok := head.At(v)
		if !ok {
			p.replayLog(&config.Config{}, v, then)
			return
		}
		p.readSnapshot(ref, func(s config.Snapshot, err error) {
			if err != nil {
				then(nil, err)
				return
			}
			p.replayLog(s.Config, v, then)
		})
	})
}

// replayLog applies the log to c up to version v.
func (p *Part) replayLog(c *config.Config, v config.Version, then func(*config.Config, error)) {
	if c.Version == v {
		then(c, nil)
		return
	}
	p.readLogRecords(c.Version, int(v-c.Version), nil, func(records []config.Record, err error) {
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
