// Package design describes the operators' API; "make gen" turns it into
// package gen and the committed OpenAPI documents.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("chivecroft", func() {
	Title("chivecroft operators' API")
	Description("Patches against a numbered configuration, status, day page and draining. " +
		"Every call carries an operator key as a bearer token.")
	Server("entry", func() {
		Host("local", func() { URI("http://127.0.0.1:8081") })
	})
})

// operatorKey guards every method.
var operatorKey = APIKeySecurity("operatorKey", func() {
	Description("Operator key, sent as Authorization: Bearer KEY.")
})

// problem is an RFC 9457 problem document.
var problem = Type("Problem", func() {
	Description("An RFC 9457 problem document.")
	ErrorName("name", String, "Name of the error.")
	Attribute("type", String, "URI reference of the kind of problem.")
	Attribute("title", String, "Short summary.")
	Attribute("status", Int, "HTTP status.")
	Attribute("detail", String, "What is wrong here and how to mend it.")
	Attribute("reason", String, "Machine-readable reason.")
	Attribute("problems", ArrayOf(String), "Every fault found, for a patch.")
	Attribute("current", UInt64, "Version in force, for a conflict.")
	Attribute("changes", Any, "What changed since the base version, for a conflict.")
	Required("name", "type", "title", "status", "detail", "reason")
})

var patchResult = Type("PatchResult", func() {
	Attribute("version", UInt64, "Version that the patch became.")
	Attribute("repeated", Boolean, "Whether the patch had been accepted before.")
	Attribute("warnings", ArrayOf(String), "What the operator should know, such as replicas to be taken back.")
	Required("version", "repeated")
})

var memberStatus = Type("MemberStatus", func() {
	Attribute("id", String, "Instance.")
	Attribute("zone", String, "Availability zone.")
	Attribute("region", String, "Region.")
	Attribute("addr", String, "Peer address.")
	Attribute("phase", String, "alive, silent, leaving or gone.")
	Attribute("configVersion", UInt64, "Configuration version in force there.")
	Attribute("shards", ArrayOf(Int), "Shards of its zone that it owns.")
	Required("id", "zone", "region", "addr", "phase", "configVersion", "shards")
})

var replicaStatus = Type("ReplicaStatus", func() {
	Attribute("id", String, "Replica.")
	Attribute("model", String, "Model.")
	Attribute("target", String, "Target.")
	Attribute("zone", String, "Availability zone.")
	Attribute("shard", Int, "Shard.")
	Attribute("phase", String, "loading, ready, unloading or failed.")
	Attribute("adapters", ArrayOf(String), "Adapters loaded.")
	Attribute("running", Int, "Requests running.")
	Attribute("queued", Int, "Requests queued at the engine.")
	Attribute("leaving", Boolean, "Whether the target takes no new work.")
	Required("id", "model", "target", "zone", "shard", "phase", "adapters", "running", "queued", "leaving")
})

var shardStatus = Type("ShardStatus", func() {
	Attribute("zone", String, "Availability zone.")
	Attribute("shard", Int, "Shard.")
	Attribute("epoch", UInt64, "Fencing number.")
	Attribute("mode", String, "owner, cutOff or resolving.")
	Attribute("targets", Int, "Targets.")
	Attribute("chargedBytes", UInt64, "Accelerator memory charged.")
	Attribute("permits", MapOf(String, Int), "Permits held, by resource.")
	Attribute("detail", String, "What the shard waits for, if anything.")
	Required("zone", "shard", "epoch", "mode", "targets", "chargedBytes")
})

var statusResult = Type("StatusResult", func() {
	Attribute("id", String, "Answering instance.")
	Attribute("zone", String, "Its availability zone.")
	Attribute("region", String, "Its region.")
	Attribute("ready", Boolean, "Whether it takes new requests.")
	Attribute("draining", Boolean, "Whether it is draining.")
	Attribute("configVersion", UInt64, "Configuration version in force here.")
	Attribute("kvReachable", Boolean, "Whether the last KV call was answered.")
	Attribute("kvCalls", MapOf(String, UInt64), "KV calls made, by kind.")
	Attribute("waiting", Int, "Requests waiting here.")
	Attribute("inFlight", Int, "Requests in flight here.")
	Attribute("members", ArrayOf(memberStatus), "Entries known here.")
	Attribute("shards", ArrayOf(shardStatus), "Shards owned here.")
	Attribute("replicas", ArrayOf(replicaStatus), "Replicas known here.")
	Required("id", "zone", "region", "ready", "draining", "configVersion", "kvReachable", "waiting", "inFlight",
		"members", "shards", "replicas")
})

var drainResult = Type("DrainResult", func() {
	Attribute("scope", String, "entry, target or zone.")
	Attribute("name", String, "What is drained.")
	Attribute("state", String, "What was set going.")
	Required("scope", "name", "state")
})

// key is the payload attribute that carries the operator key.
func key() {
	APIKey("operatorKey", "key", String, "Operator key.")
	Required("key")
}

var _ = Service("operator", func() {
	Description("What operators do against any entry.")
	Security(operatorKey)
	Error("unauthorized", problem)
	Error("invalid", problem)
	Error("conflict", problem)
	Error("notFound", problem)
	Error("unavailable", problem)
	HTTP(func() {
		Response("unauthorized", StatusUnauthorized, func() { ContentType("application/problem+json") })
		Response("invalid", StatusUnprocessableEntity, func() { ContentType("application/problem+json") })
		Response("conflict", StatusConflict, func() { ContentType("application/problem+json") })
		Response("notFound", StatusNotFound, func() { ContentType("application/problem+json") })
		Response("unavailable", StatusServiceUnavailable, func() { ContentType("application/problem+json") })
	})

	Method("patch", func() {
		Description("Applies a patch, given as JSON, to the configuration version that it names as its base. " +
			"A repeated patch id returns the version that it became.")
		Payload(func() { key() })
		Result(patchResult)
		HTTP(func() {
			POST("/v1/patches")
			Header("key:Authorization")
			SkipRequestBodyEncodeDecode()
			Response(StatusOK)
		})
	})

	Method("config", func() {
		Description("Reads the configuration at a version.")
		Payload(func() {
			key()
			Attribute("version", UInt64, "Version, 0 for the one in force.", func() { Default(0) })
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/config")
			Header("key:Authorization")
			Param("version")
			Response(StatusOK)
		})
	})

	Method("history", func() {
		Description("Lists the patches after a version.")
		Payload(func() {
			key()
			Attribute("after", UInt64, "Version after which to begin.", func() { Default(0) })
			Attribute("limit", Int, "Most patches to return.", func() { Default(100); Minimum(1); Maximum(1000) })
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/history")
			Header("key:Authorization")
			Param("after")
			Param("limit")
			Response(StatusOK)
		})
	})

	Method("status", func() {
		Description("Tells how this entry sees the deployment.")
		Payload(func() { key() })
		Result(statusResult)
		HTTP(func() {
			GET("/v1/status")
			Header("key:Authorization")
			Response(StatusOK)
		})
	})

	Method("day", func() {
		Description("Reads the day page as JSON.")
		Payload(func() {
			key()
			Attribute("date", String, "Day as YYYY-MM-DD in the deployment's time zone, empty for today.", func() { Default("") })
		})
		Result(Any)
		HTTP(func() {
			GET("/v1/day")
			Header("key:Authorization")
			Param("date")
			Response(StatusOK)
		})
	})

	Method("drain", func() {
		Description("Starts a graceful shutdown of this entry, or takes a target or a zone out of use.")
		Payload(func() {
			key()
			Attribute("scope", String, "What to drain.", func() { Enum("entry", "target", "zone") })
			Attribute("name", String, "Instance or zone; empty for this entry.", func() { Default("") })
			Attribute("undo", Boolean, "Takes a target or zone back into use.", func() { Default(false) })
			Required("scope")
		})
		Result(drainResult)
		HTTP(func() {
			POST("/v1/drain")
			Header("key:Authorization")
			Param("scope")
			Param("name")
			Param("undo")
			Response(StatusOK)
		})
	})
})
