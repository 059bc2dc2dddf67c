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

/// Base, overlays and who accepted them; replaced as a whole by one
/// compare-and-swap.
struct document
{
    std::uint64_t version = 0;
    /// Unique for each write; resolves a lost answer by reading back.
    std::string change_id;
    std::string author;
    std::string note;
    nlohmann::json base;
    std::vector<overlay_document> overlays;
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

} // namespace galenarudder::config
