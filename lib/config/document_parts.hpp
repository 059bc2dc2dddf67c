/// \file
/// JSON schemas of the base document and the overlays, which operators write,
/// and of the full document in the store; readers of their parts.
#pragma once

#include "galenarudder/config/document.hpp"

#include <nlohmann/json.hpp>

namespace galenarudder::config {

/// Read an element of /hosts, /services or /organisations that conforms to the
/// schema.
host_route read_host_route(const nlohmann::json& route_json);
service_policy read_service(const nlohmann::json& service_json);
organisation_policy read_organisation(const nlohmann::json& organisation_json);

/// Reads a stored form that conforms to its schema; its parts may be invalid.
document read_parts(nlohmann::json stored);

inline constexpr const char* stored_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["version", "change_id", "author", "note", "base", "overlays"],
  "properties": {
    "version": {"type": "integer", "minimum": 1},
    "change_id": {"type": "string", "minLength": 1},
    "author": {"type": "string"},
    "note": {"type": "string"},
    "time": {"type": "string"},
    "history": {"type": "object", "maxProperties": 50,
      "additionalProperties": {
      "type": "object", "additionalProperties": false,
      "required": ["version", "change_id", "author", "note", "time"],
      "properties": {
        "version": {"type": "integer", "minimum": 1},
        "change_id": {"type": "string"},
        "author": {"type": "string"},
        "note": {"type": "string"},
        "time": {"type": "string"}}}},
    "base": {"type": "object"},
    "overlays": {"type": "object"}
  }
})";

inline constexpr const char* base_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["format", "services"],
  "properties": {
    "format": {"enum": ["galenarudder-base-1"]},
    "ranks": {"type": "array", "minItems": 1, "maxItems": 16, "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name"],
      "properties": {
        "name": {"type": "string", "minLength": 1, "maxLength": 64},
        "minimum_share": {"type": "number", "minimum": 0, "maximum": 1},
        "held_slots": {"type": "integer", "minimum": 0, "maximum": 10000}}}},
    "services": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name"],
      "properties": {
        "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
        "strategy": {"type": "string"},
        "probe_path": {"type": "string", "pattern": "^/", "maxLength": 256},
        "connections": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "cold_calls_per_s": {"type": "number", "minimum": 0,
                             "maximum": 1000000000},
        "routes": {"type": "array", "minItems": 1, "items": {
          "type": "object", "additionalProperties": false,
          "required": ["rank"],
          "properties": {
            "method": {"type": "string", "pattern": "^[A-Z]{0,16}$"},
            "prefix": {"type": "string", "pattern": "^/"},
            "rank": {"type": "string", "minLength": 1},
            "repeatable": {"type": "boolean"},
            "deadline_ms": {"type": "integer", "minimum": 1,
                            "maximum": 3600000},
            "body_limit_bytes": {"type": "integer", "minimum": 0,
                                 "maximum": 1099511627776}}}}}}},
    "hosts": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["host", "prefix", "rank", "services"],
      "properties": {
        "host": {"type": "string", "minLength": 1, "maxLength": 253},
        "prefix": {"type": "string", "pattern": "^/"},
        "rank": {"type": "string", "minLength": 1},
        "repeatable": {"type": "boolean"},
        "deadline_ms": {"type": "integer", "minimum": 1,
                        "maximum": 3600000},
        "goal_ms": {"type": "integer", "minimum": 0, "maximum": 3600000},
        "attempts": {"type": "integer", "minimum": 1, "maximum": 16},
        "open": {"type": "boolean"},
        "regions": {"$ref": "#/definitions/regions"},
        "services": {"type": "array", "minItems": 1, "items": {
          "type": "object", "additionalProperties": false,
          "required": ["service"],
          "properties": {
            "service": {"type": "string", "minLength": 1},
            "weight": {"type": "number", "minimum": 0}}}}}}},
    "organisations": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name"],
      "properties": {
        "name": {"type": "string", "maxLength": 128,
                 "pattern": "^[^\\x00-\\x20\\x7f]([^\\x00-\\x1f\\x7f]*[^\\x00-\\x20\\x7f])?$"},
        "keys": {"type": "array", "items": {
          "type": "string", "pattern": "^[0-9a-f]{64}$"}},
        "rank": {"type": "string", "minLength": 1},
        "calls_per_s": {"type": "number", "minimum": 0,
                        "maximum": 1000000000},
        "burst": {"type": "number", "minimum": 0, "maximum": 1000000000},
        "regions": {"$ref": "#/definitions/regions"}}}},
    "callers": {"type": "object", "additionalProperties": false,
      "properties": {
        "head_bytes": {"type": "integer", "minimum": 1024,
                       "maximum": 1048576},
        "body_bytes": {"type": "integer", "minimum": 0,
                       "maximum": 1099511627776},
        "head_ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
        "idle_ms": {"type": "integer", "minimum": 1, "maximum": 3600000}}},
    "limits": {"type": "object", "additionalProperties": {
      "type": "object", "additionalProperties": false,
      "required": ["value", "min", "max", "mover"],
      "properties": {
        "value": {"type": "number"},
        "min": {"type": "number"},
        "max": {"type": "number"},
        "mover": {"enum": ["base", "site"]}}}},
    "automation": {"type": "object", "additionalProperties": false,
      "properties": {
        "eject": {"$ref": "#/definitions/mode"},
        "shed": {"$ref": "#/definitions/mode"},
        "hedge": {"$ref": "#/definitions/mode"},
        "retry": {"$ref": "#/definitions/mode"},
        "adapt_limit": {"$ref": "#/definitions/mode"},
        "reroute": {"$ref": "#/definitions/mode"},
        "organisation_limit": {"$ref": "#/definitions/mode"},
        "cold_admission": {"$ref": "#/definitions/mode"},
        "organisation_turns": {"$ref": "#/definitions/mode"}}}
  },
  "definitions": {
    "regions": {"type": "array", "items": {"type": "string", "minLength": 1}},
    "mode_name": {"enum": ["automatic", "bounded", "observe"]},
    "mode": {"anyOf": [
      {"$ref": "#/definitions/mode_name"},
      {"type": "object", "additionalProperties": false,
       "required": ["mode", "loosest", "mover"],
       "properties": {
         "mode": {"$ref": "#/definitions/mode_name"},
         "loosest": {"$ref": "#/definitions/mode_name"},
         "mover": {"enum": ["base", "site"]}}}]}
  }
})";

inline constexpr const char* overlay_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["format", "site"],
  "properties": {
    "format": {"enum": ["galenarudder-overlay-1"]},
    "site": {"type": "string", "minLength": 1, "maxLength": 64},
    "limits": {"type": "object",
               "additionalProperties": {"type": "number"}},
    "automation": {"type": "object", "additionalProperties": false,
      "properties": {
        "eject": {"enum": ["automatic", "bounded", "observe"]},
        "shed": {"enum": ["automatic", "bounded", "observe"]},
        "hedge": {"enum": ["automatic", "bounded", "observe"]},
        "retry": {"enum": ["automatic", "bounded", "observe"]},
        "adapt_limit": {"enum": ["automatic", "bounded", "observe"]},
        "reroute": {"enum": ["automatic", "bounded", "observe"]},
        "organisation_limit": {"enum": ["automatic", "bounded", "observe"]},
        "cold_admission": {"enum": ["automatic", "bounded", "observe"]},
        "organisation_turns": {"enum": ["automatic", "bounded", "observe"]}}}
  }
})";

} // namespace galenarudder::config
