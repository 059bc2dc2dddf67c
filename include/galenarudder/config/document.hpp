/// \file
/// The value in the store that holds the base document and all overlays, called
/// the full document to distinguish it from these parts.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

/// The overlay of one site.
struct overlay_document
{
    std::string site;
    nlohmann::json body;
};

/// An accepted change, kept in the document as history.
struct change_record
{
    std::uint64_t version = 0;
    std::string change_id;
    std::string author;
    std::string note;
    /// UTC in the form 2026-12-04T11:20:00Z.
    std::string time;
};

/// Number of earlier changes that a document keeps.
inline constexpr std::size_t max_history_changes = 50;

/// The base document, all overlays, and the change that wrote them. Each change
/// replaces the full document by one compare-and-swap.
struct document
{
    std::uint64_t version = 0;
    /// Unique to each change. If the store's response to the write was lost,
    /// the writer looks for this id in the stored document.
    std::string change_id;
    std::string author;
    std::string note;
    std::string time;
    nlohmann::json base;
    std::vector<overlay_document> overlays;
    /// Earlier accepted changes, newest first.
    std::vector<change_record> history;
};

/// Parses the stored form and validates the full document by validate().
support::result<document> parse_document(std::string_view text);

/// Like parse_document, for a stored form that was parsed.
support::result<document> read_document(nlohmann::json stored);

/// Returns the stored form.
std::string serialize(const document& full_document);

/// Returns the stored form before it is serialized.
nlohmann::json to_json(const document& full_document);

/// Returns the stored form without the base document, which is by far its
/// largest part.
nlohmann::json to_json_without_base(const document& full_document);

/// Validates the base document and every overlay against their schemas, then
/// the rules of check_cross_document_rules. The error describes the first
/// violation only: the path of the invalid value, the violated bound and the
/// remedy.
support::result<void> validate(const document& full_document);

/// Returns the configuration of \p site: the base document with the site's
/// overlay applied, if there is one.
support::result<configuration>
effective_configuration(const document& full_document, std::string_view site);

/// The document that sets a value in force.
struct value_origin
{
    /// `base`, `overlay SITE`, or `product` for a built-in default.
    std::string document;
    /// JSON pointer into that document; empty for a built-in default.
    std::string pointer;
};

/// A limit or mode in force at a site.
struct effective_value
{
    /// Path of the setting, such as `limits/retry_share`.
    std::string path;
    nlohmann::json value;
    nlohmann::json min;
    nlohmann::json max;
    /// Who may change the value (the key "mover"): `base` if only the base
    /// document may, `site` if the site's overlay may, too.
    std::string mover;
    value_origin origin;
};

/// Returns every limit and mode in force at \p site with its origin.
/// \p full_document must be valid.
std::vector<effective_value> effective_values(const document& full_document,
                                              std::string_view site);

/// Returns the overlay of \p site, or null if the site has none.
const overlay_document* find_overlay(const document& full_document,
                                     std::string_view site);

/// Returns the record of the change that wrote \p full_document.
change_record latest_change(const document& full_document);

/// Returns whether both hold the same base document and overlays. Versions,
/// authors and history are not compared.
bool same_content(const document& left, const document& right);

} // namespace galenarudder::config
