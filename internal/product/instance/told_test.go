package instance_test

import (
	"fmt"
	"strings"
	"testing"
)

// Rules/InForce lists every gateway VM that has the rules in force, although the
// gateway that writes the object has links to only a few of them.
func TestInForceNamesEveryGateway(t *testing.T) {
	const gateways = 12
	s := newCluster(t, 1)
	s.submit(initialRules)
	for i := range gateways {
		s.addGateway(fmt.Sprintf("gateway-%02d", i))
	}
	eventually(t, waitTimeout, "all gateways in Rules/InForce", func() bool {
		_, text := get(t, s.url+"/objects/Rules/InForce")
		return strings.Count(text, "# VM Name=gateway-") == gateways
	})
}
