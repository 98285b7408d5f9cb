package placer

import "slices"

type rackRow struct {
	dataCentre int32
	workers    []int32
}

// rackTable records which workers are in which rack and data centre. Racks and
// data centres are never removed, so that their numbers stay valid.
type rackTable struct {
	rows        []rackRow
	byName      map[rackName]int32
	dataCentres map[string]int32
	// byDataCentre lists the racks of each data centre.
	byDataCentre [][]int32
}

type rackName struct {
	dataCentre string
	rack       string
}

func (t *rackTable) init() {
	t.byName = make(map[rackName]int32)
	t.dataCentres = make(map[string]int32)
}

// findOrAdd returns the row of a rack, which it adds if there is none.
func (t *rackTable) findOrAdd(dataCentre, rack string) int32 {
	name := rackName{
		dataCentre: dataCentre,
		rack:       rack,
	}
	if i, ok := t.byName[name]; ok {
		return i
	}
	c, ok := t.dataCentres[dataCentre]
	if !ok {
		c = int32(len(t.byDataCentre))
		t.dataCentres[dataCentre] = c
		t.byDataCentre = append(t.byDataCentre, nil)
	}
	i := int32(len(t.rows))
	t.rows = append(t.rows, rackRow{
		dataCentre: c,
	})
	t.byName[name] = i
	t.byDataCentre[c] = append(t.byDataCentre[c], i)
	return i
}

func (t *rackTable) addWorker(rack, worker int32) {
	t.rows[rack].workers = append(t.rows[rack].workers, worker)
}

func (t *rackTable) removeWorker(rack, worker int32) {
	workers := t.rows[rack].workers
	index := slices.Index(workers, worker)
	t.rows[rack].workers = slices.Delete(workers, index, index+1)
}
