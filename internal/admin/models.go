package admin

import (
	"context"
	"net/http"
)

// EngineModel is an engine of a loading pool and its model.
type EngineModel struct {
	Pool   string `json:"pool"`
	Engine string `json:"engine"`
	// Model is empty while the engine loads, and until it is first ordered to load a model.
	Model string `json:"model,omitempty"`
}

// ModelList lists the engines of loading pools with their models, as the serving node knows them.
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
