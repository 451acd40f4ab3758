package main

import (
	"context"
	"os"

	"marlreel/internal/rehearsal"
	"marlreel/internal/standin"
)

// upCmd runs a small fleet behind one proxy until the context ends.
type upCmd struct {
	Listen   string `default:"127.0.0.1:7800" help:"Loopback address on which the proxy listens."`
	Nodes    int    `default:"4" help:"Number of auction nodes."`
	Marlreel string `help:"The daemon; default: the one beside this program, or on PATH." placeholder:"PATH"`
}

// Run implements the command.
func (u upCmd) Run(ctx context.Context, o *output) error {
	proxy, err := findProxy(u.Marlreel, "")
	if err != nil {
		return err
	}
	scenario, err := loadScenario("calm")
	if err != nil {
		return err
	}
	return rehearsal.Up(ctx, scenario, rehearsal.UpOptions{Listen: u.Listen, Nodes: u.Nodes, Command: proxy.command, Out: o.out})
}

// plainProxyCmd runs the baseline proxy.
type plainProxyCmd struct{}

// Run implements the command.
func (plainProxyCmd) Run(ctx context.Context) error {
	return standin.RunPlainProxy(ctx, os.Getenv("NODE_CONFIG"), standin.Faults{})
}
