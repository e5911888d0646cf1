// Package deps keeps the chosen libraries in go.mod until their packages land.
package deps

// Blank imports, so that the module graph is whole before the packages that use it.
import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/gravitational/trace"
	_ "github.com/phuslu/log"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "go.opentelemetry.io/otel/attribute"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/metric"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "goa.design/goa/v3/http"
	_ "goa.design/goa/v3/http/codegen/openapi"
	_ "goa.design/goa/v3/security"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "google.golang.org/protobuf/proto"
	_ "google.golang.org/protobuf/types/known/durationpb"
	_ "gopkg.in/ini.v1"
)
