package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// options are the command line.
type options struct {
	site, kinds, out string
	seed             uint64
	first, count     int
}

func main() {
	var o options
	flag.StringVar(&o.site, "site", "", "the site file, for the length of its days")
	flag.StringVar(&o.kinds, "kinds", "", "a file with what the bench prints of the kinds in force there")
	flag.StringVar(&o.out, "out", ".", "the folder for the days' files")
	flag.Uint64Var(&o.seed, "seed", 1, "the seed")
	flag.IntVar(&o.first, "first", 0, "the number of the first day")
	flag.IntVar(&o.count, "count", 1, "how many days")
	flag.Parse()
	if err := write(o); err != nil {
		fmt.Fprintln(os.Stderr, "drawdays:", err)
		os.Exit(1)
	}
}

// write draws the days and writes their files, and prints the files' names.
func write(o options) error {
	var site struct {
		Length float64 `toml:"length_s"`
	}
	text, err := os.ReadFile(o.site)
	if err != nil {
		return eris.Wrap(err, "reading the site")
	}
	if err := toml.Unmarshal(text, &site); err != nil {
		return eris.Wrap(err, "reading the site")
	}
	kinds, err := os.ReadFile(o.kinds)
	if err != nil {
		return eris.Wrap(err, "reading the kinds in force")
	}
	all := inForce(subjects(), string(kinds))
	if len(all) < 2 || site.Length <= firstFault+lastMargin {
		return eris.Errorf("%d kinds in days of %.0f s leave nothing to draw", len(all), site.Length)
	}
	for number := o.first; number < o.first+o.count; number++ {
		d := drawDay(o.seed, number, site.Length, all)
		data, err := toml.Marshal(dayFile{[]day{d}})
		if err != nil {
			return eris.Wrap(err, "encoding a day")
		}
		path := filepath.Join(o.out, d.Name+".toml")
		if err := os.WriteFile(path, data, 0o644); err != nil {
			return eris.Wrap(err, "writing a day")
		}
		fmt.Println(path)
	}
	return nil
}
