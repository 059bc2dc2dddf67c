/// \file
/// Validation of the base document and the overlays: each document on its own
/// against its JSON schema, then all of them together against the rules that a
/// schema cannot express.
#pragma once

#include "galenarudder/config/document.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

/// A violated cross-document rule, with the document that violates it.
struct validation_error
{
    /// Identifies the rule; does not change between releases.
    std::string_view code;
    /// Site of the overlay; empty if the error is in the base document.
    std::string site;
    /// JSON pointer to the invalid value.
    std::string pointer;
    /// The value found and the bound or rule that it violates.
    std::string message;
    /// How to correct the document.
    std::string remedy;
};

/// Parses a base document and checks it against its schema. Errors name
/// \p file.
support::result<nlohmann::json> parse_base(std::string_view text,
                                           std::string_view file);

/// Parses an overlay and checks it against its schema. Errors name \p file.
support::result<nlohmann::json> parse_overlay(std::string_view text,
                                              std::string_view file);

/// Checks only the rules that a schema cannot express, and returns every
/// violation; validate() checks the schemas too. Each document must already
/// conform to its schema.
std::vector<validation_error>
check_cross_document_rules(const document& full_document);

/// Returns the number of the line on which the value at \p pointer begins,
/// counted from 1, or 0 if \p text has no value at that pointer.
std::size_t line_of_pointer(std::string_view text, std::string_view pointer);

/// Returns what line_of_pointer() returns for each of \p pointers, in one pass.
std::vector<std::size_t>
lines_of_pointers(std::string_view text, std::span<const std::string> pointers);

/// Returns the names of the pick strategies that a base document may select.
std::span<const std::string_view> strategy_names();

/// Largest value that the store accepts, in bytes.
inline constexpr std::size_t max_stored_bytes = 1'000'000;

} // namespace galenarudder::config
