/// \file
/// A full document whose routes, services and organisations are shared with
/// other versions, so that a new version costs what it changes. What a version
/// has in common with an earlier one is recognized by its text and neither
/// parsed, checked nor translated again.
///
/// These functions accept only what validate() accepts. They return nothing for
/// a text that is invalid or unusual; document.hpp then decides and describes
/// the error.
#pragma once

#include "galenarudder/config/document.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::config {

/// The hash of a text, 128 bits.
struct text_hash
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    friend bool operator==(const text_hash&, const text_hash&) = default;
};

/// Returns the hash of \p text. The same text with another \p context, which
/// gives it another meaning, has another hash.
text_hash hash_text(std::string_view text, std::uint64_t context = 0);

/// One element of a table: a route of a host, a service or an organisation.
/// Only the member for its table is set.
struct table_row
{
    /// The stored form.
    std::string text;
    text_hash text_id;
    /// Hash of the text in the operators' form from which the row was
    /// translated; equal to \c text_id if it was read in its stored form.
    text_hash source_id;
    std::shared_ptr<const host_route> route;
    std::shared_ptr<const service_policy> service;
    std::shared_ptr<const organisation_policy> organisation;
};

using table_row_ptr = std::shared_ptr<const table_row>;
using table_rows = std::vector<table_row_ptr>;

/// The tables of the base document that are shared row by row.
enum class shared_table
{
    hosts,
    services,
    organisations
};
inline constexpr std::array<shared_table, 3> shared_tables = {
    shared_table::hosts, shared_table::services, shared_table::organisations};

/// Returns the name of the table in the base document.
const char* name_of(shared_table table);

/// A valid full document. Copies share their rows.
struct shared_document
{
    /// The stored form with empty tables. A table that the base document does
    /// not have is absent here, too.
    nlohmann::json head;
    std::array<table_rows, shared_tables.size()> tables;

    std::uint64_t version() const;
    std::string change_id() const;
    const table_rows& rows(shared_table table) const
    {
        return tables.at(static_cast<std::size_t>(table));
    }
    table_rows& rows(shared_table table)
    {
        return tables.at(static_cast<std::size_t>(table));
    }
};

/// How the texts of rows are read.
struct row_form
{
    /// Part of the hash of each text, since what the text means depends on it.
    std::uint64_t context = 0;
    /// Translates a text in the operators' form into the stored form. Empty if
    /// the texts are in the stored form.
    std::function<std::optional<nlohmann::json>(std::string_view text)>
        translate;
};

/// Returns the rows of \p table with these texts, those that \p earlier has
/// shared with it; nothing if one is invalid. \p earlier may be null.
std::optional<table_rows> make_rows(shared_table table,
                                    std::span<const std::string_view> texts,
                                    const shared_document* earlier,
                                    const row_form& form = {});

/// Returns the row with the stored form \p value; null if it is invalid.
table_row_ptr make_row(shared_table table, const nlohmann::json& value);

/// The rows by which two versions of a table differ, up to the first and from
/// the last difference.
struct row_difference
{
    std::size_t begin = 0;
    std::span<const table_row_ptr> removed;
    std::span<const table_row_ptr> added;
};

row_difference difference_between(const table_rows& from, const table_rows& to);

/// Reads the stored form.
std::optional<shared_document> read_shared(std::string_view text,
                                           const shared_document* earlier);

/// Divides a valid document.
shared_document share(const document& full_document);

/// Returns the document with its tables.
document to_document(const shared_document& shared);

/// Returns the document without the rows of its shared tables.
document head_document(const shared_document& shared);

/// Returns the stored form; the same text as serialize() of the document.
std::string serialize(const shared_document& shared);

/// Returns whether the document conforms to the schemas and the rules of
/// check_cross_document_rules. Rows that \p earlier has conform to the schema;
/// \p earlier, which may be null, must be valid.
bool conforms(const shared_document& shared, const shared_document* earlier);

/// Returns the configuration of \p site, as effective_configuration() does. If
/// \p earlier is not null, \p in_force is its configuration of that site.
std::optional<configuration>
effective_configuration(const shared_document& shared,
                        std::string_view site,
                        const shared_document* earlier,
                        const configuration* in_force);

} // namespace galenarudder::config
