package front

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (c *call) serveModels() *Problem {
	list := modelList{Object: "list", Data: []modelItem{}}
	cfg := c.dir.config
	for name := range cfg.Models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: cfg.Models[name].Service})
	}
	for name := range cfg.Adapters {
		model := cfg.Adapters[name].Model
		list.Data = append(list.Data, modelItem{ID: model + ":" + name, Object: "model", OwnedBy: cfg.Models[model].Service})
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int { return strings.Compare(a.ID, b.ID) })
	return c.writeJSON(http.StatusOK, list)
}

const contentJSON = "application/json"

func (c *call) writeJSON(status int, value any) *Problem {
	return c.writeBody(status, encode(value))
}

func (c *call) writeBody(status int, body []byte) *Problem {
	c.w.Header().Set("Content-Type", contentJSON)
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		return stalled(err)
	}
	return nil
}

// encode returns one line of JSON; it is for values that always encode.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return append(body, '\n')
}
