// Rows are recognized by hashes of their texts.
#include "galenarudder/config/shared_document.hpp"

#include "../organisations/key_index.hpp"
#include "document_parts.hpp"
#include "galenarudder/config/check.hpp"
#include "galenarudder/config/json_text.hpp"
#include "galenarudder/config/raw_json.hpp"
#include "galenarudder/config/schema.hpp"
#include "galenarudder/support/json.hpp"
#include "galenarudder/support/pause_point.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace galenarudder::config {

using nlohmann::json;

namespace {

constexpr std::size_t table_count = shared_tables.size();

struct hash_of_hash
{
    std::size_t operator()(const text_hash& hash) const { return hash.low; }
};

/// The name of a shared table, and how the policy of its rows is read.
struct table_properties
{
    const char* name;
    void (*read_policy)(const json& value, table_row& row);
};

template <auto member, auto read>
void read_into(const json& value, table_row& row)
{
    row.*member = std::make_shared<std::invoke_result_t<decltype(read), json>>(
        read(value));
}

/// In the order of shared_table.
constexpr std::array<table_properties, table_count> table_descriptions = {{
    {"hosts", read_into<&table_row::route, read_host_route>},
    {"services", read_into<&table_row::service, read_service>},
    {"organisations", read_into<&table_row::organisation, read_organisation>},
}};

const table_properties& properties_of(shared_table table)
{
    return table_descriptions.at(static_cast<std::size_t>(table));
}

std::optional<shared_table> table_called(std::string_view name)
{
    for (const shared_table table : shared_tables) {
        if (name == name_of(table))
            return table;
    }
    return std::nullopt;
}

/// Returns whether \p values, an array, conform to the schema of their table.
/// Does not change them.
bool conform_to_schema(shared_table table, json& values)
{
    json base = {{"format", "galenarudder-base-1"},
                 {"services", json::array()}};
    base[name_of(table)].swap(values);
    const bool conform = check_schema(base, "base", base_schema).has_value();
    base[name_of(table)].swap(values);
    return conform;
}

/// Looks for rows of an earlier version. Versions mostly have the same rows in
/// the same order, so the row behind the last one found is looked at first.
class row_finder
{
public:
    using member = text_hash table_row::*;

    row_finder(std::span<const table_row_ptr> rows, member id)
        : rows_(rows), id_(id)
    {
    }

    table_row_ptr find(const text_hash& hash)
    {
        if (next_ < rows_.size() && rows_[next_].get()->*id_ == hash)
            return rows_[next_++];
        if (positions_.empty()) {
            for (std::size_t index = 0; index < rows_.size(); ++index)
                positions_.emplace(rows_[index].get()->*id_, index);
        }
        const auto found = positions_.find(hash);
        if (found == positions_.end())
            return nullptr;
        next_ = found->second + 1;
        return rows_[found->second];
    }

private:
    std::span<const table_row_ptr> rows_;
    member id_;
    std::size_t next_ = 0;
    std::unordered_map<text_hash, std::size_t, hash_of_hash> positions_;
};

/// Makes the rows of one table. Rows that are new are checked together, since
/// each check of a schema has a cost of its own.
class row_maker
{
public:
    row_maker(shared_table table,
              std::span<const table_row_ptr> earlier,
              const row_form& form)
        : table_(table), form_(form),
          by_source_(earlier, &table_row::source_id),
          by_text_(earlier, &table_row::text_id)
    {
    }

    /// Returns false if the text is invalid.
    bool add(std::string_view text)
    {
        const text_hash source = hash_text(text, form_.context);
        rows_.push_back(by_source_.find(source));
        return rows_.back() || read(text, source);
    }

    /// Returns nothing if a row is invalid.
    std::optional<table_rows> finish() &&
    {
        if (!check_new_rows())
            return std::nullopt;
        return std::move(rows_);
    }

private:
    /// A row that is not checked yet.
    struct new_row
    {
        std::size_t position = 0;
        table_row row;
    };

    bool read(std::string_view text, const text_hash& source)
    {
        std::optional<json> value = parse(text);
        if (!value)
            return false;
        table_row row;
        row.text = value->dump();
        row.text_id = hash_text(row.text);
        row.source_id = source;
        if (const table_row_ptr known = by_text_.find(row.text_id)) {
            row.route = known->route;
            row.service = known->service;
            row.organisation = known->organisation;
            rows_.back() = std::make_shared<const table_row>(std::move(row));
            return true;
        }
        constexpr std::size_t checked_together = 64;
        new_rows_.push_back({rows_.size() - 1, std::move(row)});
        new_values_.push_back(std::move(*value));
        return new_rows_.size() < checked_together || check_new_rows();
    }

    std::optional<json> parse(std::string_view text) const
    {
        if (form_.translate)
            return form_.translate(text);
        auto value = support::parse_json(text);
        return value ? std::optional(std::move(value).value()) : std::nullopt;
    }

    bool check_new_rows()
    {
        if (!conform_to_schema(table_, new_values_))
            return false;
        for (std::size_t index = 0; index < new_rows_.size(); ++index) {
            new_row& added = new_rows_[index];
            properties_of(table_).read_policy(new_values_[index], added.row);
            rows_[added.position] =
                std::make_shared<const table_row>(std::move(added.row));
        }
        new_rows_.clear();
        new_values_.clear();
        return true;
    }

    shared_table table_;
    const row_form& form_;
    row_finder by_source_;
    row_finder by_text_;
    table_rows rows_;
    std::vector<new_row> new_rows_;
    json new_values_ = json::array();
};

/// The texts of the rows of each table that a document has.
using row_texts =
    std::array<std::optional<std::vector<std::string_view>>, table_count>;

/// Reads the array that follows.
std::vector<std::string_view> read_elements(raw_json_reader& reader)
{
    std::vector<std::string_view> elements;
    reader.enter_array();
    while (reader.next_element())
        elements.push_back(reader.value());
    return elements;
}

/// Reads the base document that follows. Puts the texts of the rows into \p
/// tables, and returns the rest with empty tables in their place.
std::optional<std::string> read_base(raw_json_reader& reader, row_texts& tables)
{
    return read_members(reader, [&](std::string_view name) {
        const auto table = table_called(name);
        if (!table)
            return std::optional(std::string(reader.value()));
        tables.at(static_cast<std::size_t>(*table)) = read_elements(reader);
        return std::optional<std::string>("[]");
    });
}

/// Like read_base, for the stored form.
std::optional<std::string> read_stored_form(raw_json_reader& reader,
                                            row_texts& tables)
{
    auto head = read_members(reader, [&](std::string_view name) {
        return name == "base" ? read_base(reader, tables)
                              : std::optional(std::string(reader.value()));
    });
    return reader.complete() ? std::move(head) : std::nullopt;
}

/// Names that the routes of a document may refer to.
struct known_names
{
    std::set<std::string, std::less<>> ranks;
    std::unordered_set<std::string_view> services;
};

known_names names_in(const shared_document& shared,
                     const configuration& head_configuration)
{
    known_names names;
    for (const rank_policy& rank : head_configuration.ranks)
        names.ranks.insert(rank.name);
    for (const table_row_ptr& row : shared.rows(shared_table::services))
        names.services.insert(row->service->name);
    return names;
}

bool keeps_rules(const host_route& route, const known_names& names)
{
    double weight_sum = 0;
    for (const weighted_service& target : route.services) {
        weight_sum += target.weight;
        if (!names.services.contains(target.service))
            return false;
    }
    return weight_sum > 0 && names.ranks.contains(route.rank);
}

bool keeps_rules(const service_policy& service,
                 const known_names& names,
                 bool has_hosts)
{
    const auto strategies = strategy_names();
    const bool strategy_exists =
        service.strategy.empty() ||
        std::find(strategies.begin(), strategies.end(), service.strategy) !=
            strategies.end();
    std::set<std::pair<std::string_view, std::string_view>> routes;
    for (const route_policy& route : service.routes) {
        const bool is_new = routes.emplace(route.method, route.prefix).second;
        if (!is_new || !names.ranks.contains(route.rank))
            return false;
    }
    return strategy_exists && (has_hosts || !service.routes.empty());
}

bool keeps_rules(const organisation_policy& organisation,
                 const known_names& names)
{
    return organisation.rank.empty() || names.ranks.contains(organisation.rank);
}

bool has_hosts(const shared_document& shared)
{
    return shared.head.at("base").contains(name_of(shared_table::hosts));
}

/// Returns whether what rows of both documents may refer to is the same.
bool same_names(const shared_document& left, const shared_document& right)
{
    const auto ranks = [](const shared_document& shared) {
        return shared.head.at("base").value("ranks", json());
    };
    const table_rows& left_services = left.rows(shared_table::services);
    const table_rows& right_services = right.rows(shared_table::services);
    return has_hosts(left) == has_hosts(right) && ranks(left) == ranks(right) &&
           std::equal(left_services.begin(), left_services.end(),
                      right_services.begin(), right_services.end(),
                      [](const table_row_ptr& one, const table_row_ptr& other) {
                          return one->service->name == other->service->name;
                      });
}

using route_ptr = std::shared_ptr<const host_route>;
using organisation_ptr = std::shared_ptr<const organisation_policy>;

bool row_precedes(const route_ptr& left, const route_ptr& right)
{
    return precedes(*left, *right);
}

bool row_precedes(const organisation_ptr& left, const organisation_ptr& right)
{
    return left->name < right->name;
}

/// Compares policies by their order in a configuration.
struct policy_order
{
    template <typename Policy>
    bool operator()(const Policy& left, const Policy& right) const
    {
        return row_precedes(left, right);
    }
};

template <typename Policy>
std::vector<Policy> sorted_policies(std::span<const table_row_ptr> rows,
                                    Policy table_row::*policy)
{
    std::vector<Policy> policies;
    policies.reserve(rows.size());
    for (const table_row_ptr& row : rows)
        policies.push_back(row.get()->*policy);
    std::sort(policies.begin(), policies.end(), policy_order());
    return policies;
}

template <typename Policy>
bool has_duplicates(const std::vector<Policy>& policies)
{
    return std::adjacent_find(policies.begin(), policies.end(),
                              [](const Policy& left, const Policy& right) {
                                  return !row_precedes(left, right);
                              }) != policies.end();
}

/// The policies by which two versions of a table differ, in order.
template <typename Policy>
struct policy_difference
{
    policy_difference(const table_rows& from,
                      const table_rows& to,
                      Policy table_row::*policy)
    {
        const row_difference rows = difference_between(from, to);
        removed = sorted_policies(rows.removed, policy);
        added = sorted_policies(rows.added, policy);
    }

    /// Returns the policies in order, made from those in force, which have no
    /// duplicates.
    std::vector<Policy> applied_to(const std::vector<Policy>& in_force) const
    {
        std::vector<Policy> kept;
        kept.reserve(in_force.size());
        std::set_difference(in_force.begin(), in_force.end(), removed.begin(),
                            removed.end(), std::back_inserter(kept),
                            policy_order());
        std::vector<Policy> policies;
        policies.reserve(kept.size() + added.size());
        std::merge(kept.begin(), kept.end(), added.begin(), added.end(),
                   std::back_inserter(policies), policy_order());
        return policies;
    }

    std::vector<Policy> removed;
    std::vector<Policy> added;
};

/// Sets the organisations and their index. Returns false if two of them have a
/// name or a key in common.
bool set_organisations(const shared_document& shared,
                       const shared_document* earlier,
                       const configuration* in_force,
                       configuration& effective)
{
    effective.requires_keys =
        shared.head.at("base").contains(name_of(shared_table::organisations));
    const table_rows& rows = shared.rows(shared_table::organisations);
    const bool can_update = earlier != nullptr && in_force != nullptr &&
                            in_force->organisation_keys != nullptr &&
                            !has_duplicates(in_force->organisations);
    if (!can_update) {
        effective.organisations =
            sorted_policies(rows, &table_row::organisation);
        effective.organisation_keys =
            organisations::make_key_index(effective.organisations);
    } else {
        const policy_difference difference(
            earlier->rows(shared_table::organisations), rows,
            &table_row::organisation);
        effective.organisations =
            difference.applied_to(in_force->organisations);
        const bool same =
            difference.removed.empty() && difference.added.empty();
        if (same) {
            effective.organisation_keys = in_force->organisation_keys;
            return true;
        }
        if (!effective.organisations.empty()) {
            effective.organisation_keys =
                std::make_shared<const organisations::key_index>(
                    *in_force->organisation_keys, difference.removed,
                    difference.added);
        }
    }
    return !has_duplicates(effective.organisations) &&
           (!effective.organisation_keys ||
            !effective.organisation_keys->has_duplicates());
}

table_row_ptr
make_valid_row(shared_table table, const json& value, std::string text)
{
    table_row row;
    row.text = std::move(text);
    row.text_id = hash_text(row.text);
    row.source_id = row.text_id;
    properties_of(table).read_policy(value, row);
    return std::make_shared<const table_row>(std::move(row));
}

void append_rows(const table_rows& rows, std::string& text)
{
    text += '[';
    std::string_view separator;
    for (const table_row_ptr& row : rows) {
        text.append(separator).append(row->text);
        separator = ",";
    }
    text += ']';
}

void append_base(const shared_document& shared, std::string& text)
{
    std::string_view separator;
    text += '{';
    for (const auto& [name, value] : shared.head.at("base").items()) {
        text.append(separator).append(json(name).dump()).append(":");
        separator = ",";
        const auto table = table_called(name);
        if (table)
            append_rows(shared.rows(*table), text);
        else
            append_json(value, text);
    }
    text += '}';
}

} // namespace

text_hash hash_text(std::string_view text, std::uint64_t context)
{
    const XXH128_hash_t hash =
        XXH3_128bits_withSeed(text.data(), text.size(), context);
    return {hash.low64, hash.high64};
}

const char* name_of(shared_table table)
{
    return properties_of(table).name;
}

std::uint64_t shared_document::version() const
{
    return head.at("version").get<std::uint64_t>();
}

std::string shared_document::change_id() const
{
    return head.at("change_id").get<std::string>();
}

std::optional<table_rows> make_rows(shared_table table,
                                    std::span<const std::string_view> texts,
                                    const shared_document* earlier,
                                    const row_form& form)
{
    row_maker maker(table,
                    earlier == nullptr ? std::span<const table_row_ptr>()
                                       : earlier->rows(table),
                    form);
    for (const std::string_view text : texts) {
        support::pause_point();
        if (!maker.add(text))
            return std::nullopt;
    }
    return std::move(maker).finish();
}

table_row_ptr make_row(shared_table table, const json& value)
{
    json values = json::array({value});
    if (!conform_to_schema(table, values))
        return nullptr;
    return make_valid_row(table, value, value.dump());
}

row_difference difference_between(const table_rows& from, const table_rows& to)
{
    const auto same = [](const table_row_ptr& left,
                         const table_row_ptr& right) {
        return left == right || left->text_id == right->text_id;
    };
    const auto first =
        std::mismatch(from.begin(), from.end(), to.begin(), to.end(), same);
    const auto begin =
        static_cast<std::size_t>(std::distance(from.begin(), first.first));
    const auto last = std::mismatch(
        from.rbegin(), std::make_reverse_iterator(first.first), to.rbegin(),
        std::make_reverse_iterator(first.second), same);
    const auto kept =
        static_cast<std::size_t>(std::distance(from.rbegin(), last.first));
    return {begin, std::span(from).subspan(begin, from.size() - kept - begin),
            std::span(to).subspan(begin, to.size() - kept - begin)};
}

std::optional<shared_document> read_shared(std::string_view text,
                                           const shared_document* earlier)
{
    std::array<std::optional<std::vector<std::string_view>>, table_count> texts;
    raw_json_reader reader(text);
    const std::optional<std::string> head = read_stored_form(reader, texts);
    if (!head)
        return std::nullopt;
    shared_document shared;
    auto parsed_head = support::parse_json(*head);
    if (!parsed_head || !check_schema(parsed_head.value(),
                                      "stored configuration", stored_schema))
        return std::nullopt;
    shared.head = to_json(read_parts(std::move(parsed_head).value()));
    for (const shared_table table : shared_tables) {
        const auto& of_table = texts.at(static_cast<std::size_t>(table));
        if (!of_table)
            continue;
        auto rows = make_rows(table, *of_table, earlier);
        if (!rows)
            return std::nullopt;
        shared.rows(table) = std::move(*rows);
    }
    return shared;
}

shared_document share(const document& full_document)
{
    shared_document shared;
    shared.head = to_json_without_base(full_document);
    json base = json::object();
    for (const auto& [name, value] : full_document.base.items())
        base[name] = value;
    for (const shared_table table : shared_tables) {
        const auto found = base.find(name_of(table));
        if (found == base.end())
            continue;
        for (const json& value : *found) {
            support::pause_point();
            shared.rows(table).push_back(
                make_valid_row(table, value, value.dump()));
        }
        *found = json::array();
    }
    shared.head["base"] = std::move(base);
    return shared;
}

document head_document(const shared_document& shared)
{
    return read_parts(shared.head);
}

document to_document(const shared_document& shared)
{
    document full_document = head_document(shared);
    for (const shared_table table : shared_tables) {
        for (const table_row_ptr& row : shared.rows(table)) {
            support::pause_point();
            full_document.base[name_of(table)].push_back(
                json::parse(row->text));
        }
    }
    return full_document;
}

std::string serialize(const shared_document& shared)
{
    std::string text = "{";
    std::string_view separator;
    for (const auto& [name, value] : shared.head.items()) {
        text.append(separator).append(json(name).dump()).append(":");
        separator = ",";
        if (name == "base")
            append_base(shared, text);
        else
            append_json(value, text);
    }
    return text + "}";
}

bool conforms(const shared_document& shared, const shared_document* earlier)
{
    if (!check_schema(shared.head, "stored configuration", stored_schema))
        return false;
    const document head = head_document(shared);
    if (!validate(head))
        return false;
    const auto head_configuration = effective_configuration(head, "");
    if (!head_configuration)
        return false;
    const known_names names = names_in(shared, head_configuration.value());
    const table_rows& services = shared.rows(shared_table::services);
    if (names.services.size() != services.size())
        return false;
    static const shared_document nothing;
    const shared_document& checked =
        earlier != nullptr && same_names(shared, *earlier) ? *earlier : nothing;
    const auto to_check = [&](shared_table table) {
        return difference_between(checked.rows(table), shared.rows(table))
            .added;
    };
    const bool hosts_present = has_hosts(shared);
    for (const table_row_ptr& row : to_check(shared_table::services)) {
        if (!keeps_rules(*row->service, names, hosts_present))
            return false;
    }
    for (const table_row_ptr& row : to_check(shared_table::hosts)) {
        if (!keeps_rules(*row->route, names))
            return false;
    }
    for (const table_row_ptr& row : to_check(shared_table::organisations)) {
        if (!keeps_rules(*row->organisation, names))
            return false;
    }
    return true;
}

std::optional<configuration>
effective_configuration(const shared_document& shared,
                        std::string_view site,
                        const shared_document* earlier,
                        const configuration* in_force)
{
    auto merged = effective_configuration(head_document(shared), site);
    if (!merged)
        return std::nullopt;
    configuration& effective = merged.value();
    for (const table_row_ptr& row : shared.rows(shared_table::services))
        effective.services.push_back(*row->service);
    const bool can_update = earlier != nullptr && in_force != nullptr &&
                            !has_duplicates(in_force->host_routes);
    const table_rows& routes = shared.rows(shared_table::hosts);
    effective.host_routes =
        can_update ? policy_difference(earlier->rows(shared_table::hosts),
                                       routes, &table_row::route)
                         .applied_to(in_force->host_routes)
                   : sorted_policies(routes, &table_row::route);
    const bool distinct =
        !has_duplicates(effective.host_routes) &&
        set_organisations(shared, earlier, in_force, effective);
    if (!distinct)
        return std::nullopt;
    return std::move(effective);
}

} // namespace galenarudder::config
