package settings

import (
	"fmt"
	"strings"
)

// exampleService is the service section shown in the annotated example.
const exampleService = servicePrefix + "Booking"

// Example returns an annotated settings file with every setting: required settings
// have an example value, the others their defaults.
func Example() string {
	var b strings.Builder
	b.WriteString("# Settings of a mustardsaddle gateway. Settings not marked as required show\n")
	b.WriteString("# their defaults and may be omitted.\n")
	section := ""
	for _, info := range List() {
		if info.Section != section {
			section = info.Section
			_, _ = fmt.Fprintf(&b, "\n[%s]\n", strings.Replace(section, sectionService, exampleService, 1))
		}
		requirement := ""
		if info.Required {
			requirement = "Required. "
		}
		_, _ = fmt.Fprintf(&b, "# %s\n# %sAccepts %s.\n", info.Description, requirement, info.Accepts)
		b.WriteString(strings.TrimSpace(info.Key+" = "+info.Example) + "\n")
	}
	return b.String()
}
