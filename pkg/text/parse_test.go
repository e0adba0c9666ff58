package text_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

const valid = `zones = ["a", "b"]
weigh = "buffer"
[[service]]
name = "front"
needs = ["core"]
runners = 3
budget = 0.9999
share = { urgent = 80, normal = 10, background = 10 }
[[service]]
name = "core"
runners = { a = 1, b = 1 }
budget = 0.99
[[service]]
name = "spare"
runners = 2
spare = true
`

// TestParseFindings guards against findings with a wrong position or message,
// which is all that operators have to locate an error.
func TestParseFindings(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown field", "runners = 3", "runers = 3", "6:1: service.runers: unknown field"},
		{"wrong type", `name = "front"`, `name = 3`, "4:8"},
		{"unknown service", `["core"]`, `["cor"]`, `5:10: service[0].needs[0]: unknown service "cor"`},
		{"cycle", `name = "core"`, "name = \"core\"\nneeds = [\"front\"]", "dependency cycle front -> core -> front"},
		{"budget", "budget = 0.9999", "budget = 1.0", "7:1: service[0].budget: 1, expected"},
		{"share", "urgent = 80", "urgent = 0", "8:11: service[0].share.urgent: 0, expected a weight"},
		{"share class", "urgent = 80", "urgent = 80, asap = 1", "8:24: service[0].share.asap: unknown class"},
		{"two spare pools", "runners = 3", "runners = 3\nspare = true", `"spare" is a second spare pool beside "front"`},
		{"no spare pool", "spare = true", "", "no spare pool"},
		{"zone of runners", "a = 1", "c = 1", "11:13: service[1].runners.c: unknown zone"},
		{"negative runners", "runners = 2", "runners = -2", "15:1: service[2].runners: -2, expected 0"},
		{"weigh", `"buffer"`, `"speed"`, `2:1: weigh: "speed", expected "rollout" or "buffer"`},
		{"clock", "zones", "clock = \"Local\"\nzones", `1:1: clock: "Local", expected a name of the IANA`},
		{"twice", `name = "core"`, `name = "front"`, `"front" is listed twice`},
		{"floor above runners", "runners = 3", "runners = 3\nfloor = 4", "7:1: service[0].floor: 4, expected 0 to 3"},
		{"reserved name", `name = "spare"`, `name = "status"`, `14:1: service[2].name: "status" is a path of the daemons`},
		{"syntax", `weigh = "buffer"`, `weigh = `, "2:"},
		{"size", "spare = true", "spare = true\n#" + strings.Repeat("x", text.MaxSize), "expected at most 1000000"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := text.Parse([]byte(strings.Replace(valid, tc.old, tc.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}

// TestInherit guards against a dependency that is less available or has less
// urgent share than its dependents require.
func TestInherit(t *testing.T) {
	got, err := text.Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	core := got.Service("core")
	if core.Budget != 0.9999 || core.Share[text.Urgent] != 80 {
		t.Errorf("core has budget %v and urgent share %d, want those of front", core.Budget, core.Share[text.Urgent])
	}
}

// TestInheritThroughOthers guards against values that do not reach indirect
// dependencies in some order of the services in the text.
func TestInheritThroughOthers(t *testing.T) {
	services := []string{
		"[[service]]\nname = \"top\"\nneeds = [\"mid\"]\nrunners = 1\nbudget = 0.9999\n",
		"[[service]]\nname = \"mid\"\nneeds = [\"low\"]\nrunners = 1\n",
		"[[service]]\nname = \"low\"\nrunners = 1\nbudget = 0.9\nspare = true\n",
	}
	for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		src := "zones = [\"a\"]\nweigh = \"rollout\"\n"
		for _, i := range order {
			src += services[i]
		}
		got, err := text.Parse([]byte(src))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"mid", "low"} {
			if s := got.Service(name); s.Budget != 0.9999 {
				t.Errorf("order %v: %s has budget %v, want that of top", order, name, s.Budget)
			}
		}
	}
}

// TestExamples guards against examples in the repository that are invalid or do
// not fit 49 hosts.
func TestExamples(t *testing.T) {
	for _, file := range []string{"brazos", "kisla"} {
		src, err := os.ReadFile("../../examples/" + file + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		got, err := text.Parse(src)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		if fs := got.Fit(map[string]int{got.Zones[0]: 17, got.Zones[1]: 16, got.Zones[2]: 16}); len(fs) > 0 {
			t.Errorf("%s does not fit 49 hosts: %v", file, fs)
		}
	}
}

func ExampleParse() {
	_, err := text.Parse([]byte("zones = [\"waco\"]\nweigh = \"rollout\"\n[[service]]\nname = \"beta\"\nspare = true\nrunners = 2\nbudget = 2.0\n"))
	fmt.Println(err)
	// Output: 7:1: service[0].budget: 2, expected a share between 0 and 1, such as 0.999
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[[service]]\nneeds=[[1]]\nrunners={a={}}"))
	f.Fuzz(func(_ *testing.T, src []byte) {
		// An invalid text must not crash a daemon.
		_, _ = text.Parse(src)
	})
}
