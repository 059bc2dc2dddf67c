/// \file
/// The value in the store that holds the base document and all overlays.
#pragma once

#include "galenarudder/config/configuration.hpp"
#include "galenarudder/support/error.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

/// One site's overlay.
struct overlay_document
{
    std::string site;
    nlohmann::json body;
};

/// One accepted change, kept in the document as history.
struct change_record
{
    std::uint64_t version = 0;
    std::string change_id;
    std::string author;
    std::string note;
    /// Coordinated universal time as 2026-12-04T11:20:00Z.
    std::string time;
};

/// Changes kept in a document, the newest ones.
inline constexpr std::size_t max_history = 50;

/// Base, overlays and who accepted them; replaced as a whole by one
/// compare-and-swap.
struct document
{
    std::uint64_t version = 0;
    /// Unique for each write; resolves a lost answer by reading back.
    std::string change_id;
    std::string author;
    std::string note;
    std::string time;
    nlohmann::json base;
    std::vector<overlay_document> overlays;
    /// Accepted changes before this one, newest first.
    std::vector<change_record> history;
};

/// Reads the stored form and checks the whole set.
support::result<document> parse_document(std::string_view text);

/// Writes the stored form.
std::string serialize(const document& whole);

/// Checks base and every overlay; the error names path, bound and remedy.
support::result<void> validate(const document& whole);

/// Builds what is in force at \p site. A site without an overlay gets the
/// base.
support::result<configuration> effective_for(const document& whole,
                                             std::string_view site);

/// Where a value in force was stated.
struct value_origin
{
    /// `base`, `overlay SITE`, or `product` when no document states it.
    std::string document;
    /// JSON pointer in that document; empty for the product's own values.
    std::string pointer;
};

/// One limit or mode in force at a site.
struct effective_value
{
    /// Path of the setting, as `limits/retry_share`.
    std::string path;
    nlohmann::json value;
    nlohmann::json min;
    nlohmann::json max;
    /// Who may move it: `base` or `site`.
    std::string mover;
    value_origin origin;
};

/// Returns every limit and mode in force at \p site with its origin. The
/// document must be valid.
std::vector<effective_value> effective_values(const document& whole,
                                              std::string_view site);

/// Returns the overlay of \p site, or null.
const overlay_document* find_overlay(const document& whole,
                                     std::string_view site);

/// The record of the change that \p whole itself is.
change_record change_of(const document& whole);

/// Whether both hold the same base and overlays, whoever wrote them.
bool same_content(const document& left, const document& right);

} // namespace galenarudder::config
