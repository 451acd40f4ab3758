package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// deployFiles are the deploy files whose builds are checked.
var deployFiles = []string{"deploy/system.toml", "deploy/balancer.toml"}

func main() {
	root := flag.String("root", ".", "the repository")
	flag.Parse()
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		fmt.Println("cleanbuild: NOT RUN: this machine has no dpkg-query to tell what a package brings")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := check(ctx, *root, os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cleanbuild:", err)
		os.Exit(1)
	}
}

// checker runs the builds of one clone, each on a machine of its own.
type checker struct {
	work      string // temporary folder, removed at the end
	source    string // the clone
	installed installed
	out       io.Writer
	machines  int // made so far
}

// check runs the build of each deploy file twice, and one build without each entry of the package list.
func check(ctx context.Context, root string, out io.Writer) (err error) {
	c := &checker{out: out}
	if c.work, err = os.MkdirTemp(publicTempDir(), "cleanbuild"); err != nil {
		return eris.Wrap(err, "creating a temporary folder")
	}
	defer func() { err = errors.Join(err, removeAll(c.work)) }()
	if err := os.Chmod(c.work, publicFolder); err != nil {
		return eris.Wrap(err, "making the temporary folder public")
	}
	if c.installed, err = readInstalled(ctx); err != nil {
		return err
	}
	if err := c.clone(ctx, root); err != nil {
		return err
	}
	var files []deployFile
	for _, path := range deployFiles {
		file, err := readDeployFile(filepath.Join(c.source, path))
		if err != nil {
			return err
		}
		files = append(files, file)
	}
	if err := c.buildTwice(ctx, files); err != nil {
		return err
	}
	return c.buildWithoutEach(ctx, files)
}

// clone creates the clean clone. It belongs to the user who runs this program; other users may create folders in it.
func (c *checker) clone(ctx context.Context, root string) error {
	c.source = filepath.Join(c.work, "source")
	if text, err := exec.CommandContext(ctx, "git", "clone", "--quiet", root, c.source).CombinedOutput(); err != nil {
		return eris.Wrapf(err, "cloning %s: %s", root, text)
	}
	return eris.Wrap(os.Chmod(c.source, writableByAll), "making the clone writable")
}

// buildTwice runs the build of each file with an empty build cache, then all builds again starting from one empty
// cache, and fails unless both produce the same bytes. Modules are fetched once.
func (c *checker) buildTwice(ctx context.Context, files []deployFile) error {
	home := filepath.Join(c.work, "home")
	first := digests{}
	for _, file := range files {
		if err := c.build(ctx, file, home, true); err != nil {
			return err
		}
		if err := first.add(c.source); err != nil {
			return err
		}
		if err := c.clean(); err != nil {
			return err
		}
	}
	second := digests{}
	for i, file := range files {
		if err := c.build(ctx, file, home, i == 0); err != nil {
			return err
		}
	}
	if err := second.add(c.source); err != nil {
		return err
	}
	if err := first.compare(second); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%d programs are byte-identical\n", len(second))
	return c.clean()
}

// buildWithoutEach removes each entry of the package list in turn; the build must then fail. All files must have the
// same list, so testing one file is enough.
func (c *checker) buildWithoutEach(ctx context.Context, files []deployFile) error {
	for _, file := range files[1:] {
		if !slices.Equal(file.Packages, files[0].Packages) {
			return eris.Errorf("%s lists packages %q and %s lists %q: both build the same code and need the same list", file.name(), file.Packages, files[0].name(), files[0].Packages)
		}
	}
	file := files[0]
	for i, entry := range file.Packages {
		without := file
		without.Packages = slices.Delete(slices.Clone(file.Packages), i, i+1)
		home := filepath.Join(c.work, "home") // holds the modules, which need not be fetched again
		if entry == certificates {
			home = filepath.Join(c.work, "home-without-modules")
		}
		err := c.build(ctx, without, home, true)
		if err == nil {
			return eris.Errorf("%s also builds without %s: the entry is not needed, or this check does not detect its absence", file.name(), entry)
		}
		fmt.Fprintf(c.out, "%s without %s fails as expected: %s\n", file.name(), entry, lastLine(err.Error()))
		if err := c.clean(); err != nil {
			return err
		}
	}
	return nil
}

func lastLine(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// build runs a file's build command on a machine that has only the file's packages.
func (c *checker) build(ctx context.Context, file deployFile, home string, emptyCache bool) error {
	c.machines++
	folder := filepath.Join(c.work, fmt.Sprint("machine", c.machines))
	machine, err := makeMachine(ctx, folder, c.installed, file.Packages)
	if err != nil {
		return err
	}
	if err := makeHome(home); err != nil {
		return err
	}
	if emptyCache {
		if err := removeAll(filepath.Join(home, ".cache")); err != nil {
			return err
		}
	}
	begin := time.Now()
	text, err := machine.command(ctx, file.Build, c.source, home).CombinedOutput()
	if err != nil {
		return eris.Wrapf(err, "%s: %s: %s", file.name(), file.Build, bytes.TrimSpace(text))
	}
	fmt.Fprintf(c.out, "%s built with %q in %.1f s\n", file.name(), file.Packages, time.Since(begin).Seconds())
	return nil
}

// clean removes the output of the builds.
func (c *checker) clean() error {
	var failed []error
	for _, folder := range outputFolders {
		failed = append(failed, removeAll(filepath.Join(c.source, folder)))
	}
	return errors.Join(failed...)
}

// removeAll removes a folder. It first makes the folders in it writable, as the Go tool makes module folders read-only.
func removeAll(path string) error {
	_ = filepath.WalkDir(path, func(at string, entry os.DirEntry, err error) error {
		if err == nil && entry.IsDir() {
			_ = os.Chmod(at, 0o700)
		}
		return nil
	})
	return eris.Wrap(os.RemoveAll(path), "removing a folder")
}
