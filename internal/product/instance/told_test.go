package instance_test

import (
	"fmt"
	"strings"
	"testing"
)

// Rules/InForce names every gateway VM that has the rules in force, although the
// gateway that writes it has links to few of them.
func TestInForceNamesEveryGateway(t *testing.T) {
	const gateways = 12
	s := newSystem(t, 1)
	s.submit(firstRules)
	for i := range gateways {
		s.addGateway(fmt.Sprintf("gateway-%02d", i))
	}
	eventually(t, patience, "the report of all gateways", func() bool {
		_, text := get(t, s.url+"/objects/Rules/InForce")
		return strings.Count(text, "# VM Name=gateway-") == gateways
	})
}
