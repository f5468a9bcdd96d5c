package explain

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// mergeWindow is the longest time between lines that are taken to report the same change.
const mergeWindow = 2 * time.Second

// changeKey identifies a state change, regardless of the process that reports it.
type changeKey struct{ name, epoch, version, peer string }

func changeKeyOf(line Line) changeKey {
	return changeKey{name: line.name, epoch: line.text("epoch"), version: line.text("version"), peer: line.text("peer")}
}

// mergeContext keeps one line for each change that several processes report: the line of a process that handled the
// request, or else the first line. It counts the other lines in that line. context and the result are sorted by time.
func mergeContext(context []Line, handlers map[string]bool) []Line {
	var merged []Line
	indexes := make(map[changeKey]int)
	for _, line := range context {
		change := changeKeyOf(line)
		index, found := indexes[change]
		if !found || line.at.Sub(merged[index].at) > mergeWindow || (handlers[line.node] && handlers[merged[index].node]) {
			indexes[change] = len(merged)
			merged = append(merged, line)
			continue
		}
		others := merged[index].others + 1
		if handlers[line.node] {
			merged[index] = line
		}
		merged[index].others = others
	}
	sortByTime(merged)
	return merged
}

// format returns the value of a field; a list of objects with names is shortened to the names.
func (l Line) format(field string) string {
	var named []struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(l.fields[field], &named) != nil || len(named) == 0 || named[0].Name == "" {
		return l.text(field)
	}
	var names []string
	for _, object := range named {
		names = append(names, object.Name)
	}
	return strings.Join(names, ",")
}

// nodes returns the node of the line and, if there are any, how many more lines report the same change.
func (l Line) nodes() string {
	if l.others == 0 {
		return l.node
	}
	return fmt.Sprintf("%s +%d", l.node, l.others)
}
