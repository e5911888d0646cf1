package dedup_test

import (
	"testing"

	"chivecroft.example/chivecroft/internal/stand/seeds"
)

func TestMain(m *testing.M) { seeds.Main(m, 1) }
