package admin

import (
	"net/http"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// QuotasPath is the path of the page of customers whose quotas this gateway grants.
	QuotasPath = "/quotas"
	// MaxQuotas is the number of customers on it, those with the highest usage.
	MaxQuotas = 50
)

// quotas lists the customers with the highest usage that this gateway grants.
func (p pages) quotas(w http.ResponseWriter, _ *http.Request) {
	uses := []mustardsaddle.QuotaUse{}
	if p.cfg.Quotas != nil {
		uses = append(uses, p.cfg.Quotas()...)
	}
	writeJSON(w, uses)
}
