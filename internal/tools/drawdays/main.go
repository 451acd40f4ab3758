package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// options are the command-line options.
type options struct {
	site, kinds, out string
	seed             uint64
	first, count     int
}

func main() {
	var o options
	flag.StringVar(&o.site, "site", "", "the site file, which gives the length of a day")
	flag.StringVar(&o.kinds, "kinds", "", "a file with the bench's list of the kinds of faults enabled at the site")
	flag.StringVar(&o.out, "out", ".", "the folder to write the day files to")
	flag.Uint64Var(&o.seed, "seed", 1, "the seed")
	flag.IntVar(&o.first, "first", 0, "the number of the first day")
	flag.IntVar(&o.count, "count", 1, "the number of days to generate")
	flag.Parse()
	if err := write(o); err != nil {
		fmt.Fprintln(os.Stderr, "drawdays:", err)
		os.Exit(1)
	}
}

// write generates the days, writes their files and prints the file names.
func write(o options) error {
	var site struct {
		Length float64 `toml:"length_s"`
	}
	text, err := os.ReadFile(o.site)
	if err != nil {
		return eris.Wrap(err, "reading the site file")
	}
	if err := toml.Unmarshal(text, &site); err != nil {
		return eris.Wrap(err, "parsing the site file")
	}
	kinds, err := os.ReadFile(o.kinds)
	if err != nil {
		return eris.Wrap(err, "reading the file of enabled fault kinds")
	}
	all := inForce(subjects(), string(kinds))
	if len(all) < 2 || site.Length <= firstFault+lastMargin {
		return eris.Errorf("cannot draw days: %d fault variants enabled and a day length of %.0f s are too few or too short", len(all), site.Length)
	}
	for number := o.first; number < o.first+o.count; number++ {
		d := drawDay(o.seed, number, site.Length, all)
		data, err := toml.Marshal(dayFile{[]day{d}})
		if err != nil {
			return eris.Wrap(err, "encoding a day as TOML")
		}
		path := filepath.Join(o.out, d.Name+".toml")
		if err := os.WriteFile(path, data, 0o644); err != nil {
			return eris.Wrap(err, "writing a day file")
		}
		fmt.Println(path)
	}
	return nil
}
