/// \file
/// JSON schemas of the documents that operators write.
#pragma once

namespace galenarudder::config {

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
      "required": ["name", "routes"],
      "properties": {
        "name": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
        "strategy": {"type": "string"},
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
        "reroute": {"$ref": "#/definitions/mode"}}}
  },
  "definitions": {
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
        "reroute": {"enum": ["automatic", "bounded", "observe"]}}}
  }
})";

} // namespace galenarudder::config
