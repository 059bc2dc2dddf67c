/// \file
/// Checks of base document and overlays: each alone against its schema, then
/// the whole set against the rules that a schema cannot state.
#pragma once

#include "galenarudder/config/document.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

/// One fault in one document.
struct finding
{
    /// Site of the overlay; empty for the base document.
    std::string site;
    /// JSON pointer to the faulty value.
    std::string pointer;
    /// What was found and the bound that it breaks.
    std::string message;
    std::string remedy;
};

/// Parses a base document and checks it alone; \p file is named in errors.
support::result<nlohmann::json> parse_base(std::string_view text,
                                           std::string_view file);

/// Parses an overlay and checks it alone.
support::result<nlohmann::json> parse_overlay(std::string_view text,
                                              std::string_view file);

/// Returns every fault of the whole set. Each document must have passed its
/// schema.
std::vector<finding> check_set(const document& whole);

/// Returns the line, from 1, on which the value at \p pointer begins; 0 when
/// the text holds no such value.
std::size_t line_of_pointer(std::string_view text, std::string_view pointer);

/// Pick strategies that documents may name.
std::span<const std::string_view> strategy_names();

/// The largest value that the store holds, in bytes.
inline constexpr std::size_t max_stored_bytes = 1'000'000;

} // namespace galenarudder::config
