package placer

import "slices"

type rackRow struct {
	dataCentre int32
	workers    []int32
}

// rackTable says which workers stand together. Racks and data centres keep
// their numbers for ever.
type rackTable struct {
	rows    []rackRow
	byName  map[rackName]int32
	centres map[string]int32
	// ofCentre lists the racks of each data centre.
	ofCentre [][]int32
}

type rackName struct {
	dataCentre string
	rack       string
}

func (t *rackTable) init() {
	t.byName = make(map[rackName]int32)
	t.centres = make(map[string]int32)
}

// number returns the row of a rack, which it makes if there is none.
func (t *rackTable) number(dataCentre, rack string) int32 {
	name := rackName{
		dataCentre: dataCentre,
		rack:       rack,
	}
	if i, ok := t.byName[name]; ok {
		return i
	}
	c, ok := t.centres[dataCentre]
	if !ok {
		c = int32(len(t.ofCentre))
		t.centres[dataCentre] = c
		t.ofCentre = append(t.ofCentre, nil)
	}
	i := int32(len(t.rows))
	t.rows = append(t.rows, rackRow{
		dataCentre: c,
	})
	t.byName[name] = i
	t.ofCentre[c] = append(t.ofCentre[c], i)
	return i
}

func (t *rackTable) join(rack, worker int32) {
	t.rows[rack].workers = append(t.rows[rack].workers, worker)
}

func (t *rackTable) leave(rack, worker int32) {
	workers := t.rows[rack].workers
	at := slices.Index(workers, worker)
	t.rows[rack].workers = slices.Delete(workers, at, at+1)
}
