package parser_test

import (
	"fmt"

	"github.com/galenacove/galenacove/parser"
)

func ExampleParse() {
	statement, err := parser.Parse(`show tasks where team = "omuti" order by submitted desc limit 20`)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := statement.(parser.Show)
	fmt.Println(show.Table(), show.Limit())
	fmt.Println(parser.Print(show))

	_, err = parser.Parse("show tasks wher team = omuti")
	fmt.Println(err)
	// Output:
	// tasks 20
	// show tasks where team = omuti order by submitted desc limit 20
	// 1:12: unexpected "wher", expected ;, count, limit, order, where or the end
}
