package settings

import (
	"fmt"
	"strings"
)

// exampleService is the service whose section the annotated example shows.
const exampleService = servicePrefix + "Booking"

// Example returns an annotated settings file that states every setting: the
// required ones with an example, the others with their defaults.
func Example() string {
	var b strings.Builder
	b.WriteString("# Settings of a mustardsaddle gateway. Settings without \"required\" show their\n")
	b.WriteString("# defaults and may be left out.\n")
	section := ""
	for _, info := range List() {
		if info.Section != section {
			section = info.Section
			_, _ = fmt.Fprintf(&b, "\n[%s]\n", strings.Replace(section, sectionService, exampleService, 1))
		}
		need := ""
		if info.Required {
			need = "Required. "
		}
		_, _ = fmt.Fprintf(&b, "# %s\n# %sWants %s.\n", info.Meaning, need, info.Want)
		b.WriteString(strings.TrimSpace(info.Key+" = "+info.Example) + "\n")
	}
	return b.String()
}
