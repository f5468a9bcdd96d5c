package explain

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// mergeWithin is how far apart the lines of several processes may be that tell the same change.
const mergeWithin = 2 * time.Second

// sameChange names what a change of belief is about, whoever tells it.
type sameChange struct{ name, epoch, version, peer string }

func changeOf(line Line) sameChange {
	return sameChange{name: line.name, epoch: line.text("epoch"), version: line.text("version"), peer: line.text("peer")}
}

// mergeContext leaves one line for each change that several processes tell: that of a process which handled the
// request, or else the first. The others are counted in it. Both rows are in order of time.
func mergeContext(context []Line, handled map[string]bool) []Line {
	var merged []Line
	kept := make(map[sameChange]int)
	for _, line := range context {
		change := changeOf(line)
		index, found := kept[change]
		if !found || line.at.Sub(merged[index].at) > mergeWithin || (handled[line.node] && handled[merged[index].node]) {
			kept[change] = len(merged)
			merged = append(merged, line)
			continue
		}
		others := merged[index].others + 1
		if handled[line.node] {
			merged[index] = line
		}
		merged[index].others = others
	}
	sortByTime(merged)
	return merged
}

// readable is a field's value; of a list of things that have names it gives the names.
func (l Line) readable(field string) string {
	var named []struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(l.fields[field], &named) != nil || len(named) == 0 || named[0].Name == "" {
		return l.text(field)
	}
	var names []string
	for _, thing := range named {
		names = append(names, thing.Name)
	}
	return strings.Join(names, ",")
}

// tellers is the node that tells a line, and how many further lines tell the same.
func (l Line) tellers() string {
	if l.others == 0 {
		return l.node
	}
	return fmt.Sprintf("%s +%d", l.node, l.others)
}
