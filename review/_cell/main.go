// Command _cell plays the cases of the review that are scripts. It starts the entry hosts as
// separate processes, and has the stand-ins for the store, the minions and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// errBroken is the error of a case in which a rule was broken.
type errBroken struct{ text string }

func (e errBroken) Error() string { return e.text }

var cases = map[string]func(*cell) error{
	"route":   caseRoute,
	"former":  caseFormerLife,
	"adviser": caseAdviser,
	"ends":    caseEnds,
	"soak":    caseSoak,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _cell CASE FOLDER")
		os.Exit(2)
	}
	c, err := newCell(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = cases[os.Args[1]](c)
	c.stop()
	switch broken, ok := err.(errBroken); {
	case err == nil:
		c.record("the rule held")
		fmt.Println("the rule held")
	case ok:
		c.record("BROKEN: %s", broken.text)
		fmt.Println("BROKEN:", broken.text)
		os.Exit(1)
	default:
		c.record("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}
