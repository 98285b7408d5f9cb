package server

import (
	"strconv"

	"github.com/galenacove/galenacove/answerer"
	"github.com/galenacove/galenacove/namer"
	"github.com/galenacove/galenacove/parser"
	"github.com/galenacove/galenacove/sizer"
)

func column(kind answerer.Kind, name string) answerer.Column {
	return answerer.Column{
		Name: name,
		Kind: kind,
	}
}

func text(name string) answerer.Column      { return column(answerer.KindText, name) }
func number(name string) answerer.Column    { return column(answerer.KindNumber, name) }
func cores(name string) answerer.Column     { return column(answerer.KindCores, name) }
func memory(name string) answerer.Column    { return column(answerer.KindBytes, name) }
func timestamp(name string) answerer.Column { return column(answerer.KindTime, name) }

// tableColumns maps each table that can be queried to its columns.
var tableColumns = map[parser.Table][]answerer.Column{
	parser.Tasks: {
		text("id"), text("job"), text("team"), text("policy"), text("state"), text("worker"), text("member"),
		cores("cpu"), memory("memory"), number("accelerators"), cores("usedCpu"), memory("usedMemory"), timestamp("since"),
	},
	parser.Workers: {
		text("name"), text("dataCentre"), text("rack"), text("state"), text("owner"), number("epoch"), number("tasks"),
		cores("cpu"), cores("freeCpu"), memory("memory"), memory("freeMemory"),
		number("accelerators"), number("freeAccelerators"),
	},
	parser.Minions: {
		text("name"), text("service"), text("dataCentre"), text("state"), text("owner"),
		number("slots"), number("reserved"), number("older"),
	},
	parser.Jobs: {
		text("id"), text("name"), text("team"), text("policy"), text("dataCentre"), text("state"), text("reason"),
		number("tasks"), number("running"), number("finished"), text("urgent"), number("submitted"),
	},
	parser.Teams: {
		text("name"), number("weight"), cores("cpu"), memory("memory"), number("accelerators"),
		cores("quotaCpu"), memory("quotaMemory"), number("quotaAccelerators"),
	},
	parser.Config: {
		text("key"), text("value"), number("offset"), text("operator"),
	},
	parser.Audit: {
		number("offset"), timestamp("at"), text("who"), text("what"), text("from"), number("base"), text("accepted"), text("reason"),
	},
	parser.Members: {
		text("name"), text("dataCentre"), number("epoch"), text("peers"),
	},
	parser.Services: {
		text("name"), text("dataCentre"), text("member"), number("waiting"), number("free"),
	},
	parser.Offsets: {
		text("member"), text("dataCentre"), number("offset"),
	},
	jobLoads: {
		text("job"), number("running"),
	},
	teamLoads: {
		text("team"), number("cpu"), number("memory"), number("accelerators"),
	},
}

func formatInt[N ~int | ~int64](n N) string { return strconv.FormatInt(int64(n), 10) }

func formatOffset[N ~uint64](n N) string { return strconv.FormatUint(uint64(n), 10) }

// formatSize returns the three cells of a size: milli-cores, bytes and
// accelerators.
func formatSize(size sizer.Size) []string {
	return []string{
		formatInt(size.MilliCores()),
		formatInt(size.Bytes()),
		formatInt(size.Accelerators()),
	}
}

func formatEpoch(epoch namer.Epoch) string { return formatOffset(epoch) }
