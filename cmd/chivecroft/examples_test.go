package main

import (
	"os"
	"path/filepath"
	"testing"

	"chivecroft.example/chivecroft/internal/params"
	"chivecroft.example/chivecroft/internal/state/config"
)

// TestExamples checks that the settings and patches that newcomers copy are accepted.
func TestExamples(t *testing.T) {
	dirs, err := filepath.Glob("../../examples/*")
	if err != nil || len(dirs) != 2 {
		t.Fatalf("%d examples, %v", len(dirs), err)
	}
	for _, dir := range dirs {
		if _, err := params.Read(filepath.Join(dir, "entry.ini")); err != nil {
			t.Errorf("%s: %v", dir, err)
		}
		data, err := os.ReadFile(filepath.Join(dir, "patch.json"))
		if err != nil {
			t.Fatal(err)
		}
		patch, err := config.ParsePatch(data)
		if err != nil {
			t.Errorf("%s: %v", dir, err)
			continue
		}
		if _, _, err := config.Apply(&config.Config{}, patch); err != nil {
			t.Errorf("%s: %v", dir, err)
		}
	}
}
