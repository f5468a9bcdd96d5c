package admin

import (
	"context"
	"net/http"
)

// EngineModel is an engine of a pool that loads models, and the model that the engine has.
type EngineModel struct {
	Pool   string `json:"pool"`
	Engine string `json:"engine"`
	// Model is empty while the engine loads, and until it is first instructed to load a model.
	Model string `json:"model,omitempty"`
}

// ModelList lists the engines of pools that load models, with the models that they have according to the node that
// serves the request.
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
