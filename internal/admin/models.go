package admin

import (
	"context"
	"net/http"
)

// EngineModel is an engine of a pool whose engines load models.
type EngineModel struct {
	Pool   string `json:"pool"`
	Engine string `json:"engine"`
	// Model is empty while the engine loads, or before it gets its first order.
	Model string `json:"model,omitempty"`
}

// ModelList is which engine has which model, as this node knows it.
type ModelList struct {
	Engines []EngineModel `json:"engines"`
}

func (s *Server) getModels(context.Context, identity, *http.Request) (any, error) {
	list := ModelList{Engines: []EngineModel{}}
	for _, item := range s.options.Config.Current().Set.LoadingPools() {
		for _, engine := range item.Pool.Engines {
			list.Engines = append(list.Engines, EngineModel{Pool: item.Name, Engine: engine.Name, Model: s.options.Models.Model(item.Name, engine.Name)})
		}
	}
	return list, nil
}
