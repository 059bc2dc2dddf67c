// Differences between two configurations, by route, service, organisation, rank
// and setting.
#include "galenarudder/config/configuration_check.hpp"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace galenarudder::config {

using nlohmann::json;

namespace {

std::string name_of_row(const json& row)
{
    return row.at("name");
}

std::string name_of_host_route(const json& row)
{
    return boost::algorithm::to_lower_copy(
               row.at("host").get_ref<const std::string&>()) +
           row.at("prefix").get_ref<const std::string&>();
}

std::string name_of_service_route(const json& row)
{
    const std::string method = row.value("method", "");
    return (method.empty() ? "" : method + " ") + row.value("prefix", "/");
}

/// A list whose entries are told apart by their names.
struct named_table
{
    const char* field;
    const char* kind;
    std::string (*name_of)(const json& row);
    /// Whether the order of the entries has a meaning.
    bool ordered;
};

constexpr std::array<named_table, 4> base_tables = {{
    {"ranks", "rank", name_of_row, true},
    {"services", "service", name_of_row, false},
    {"hosts", "route", name_of_host_route, false},
    {"organisations", "organisation", name_of_row, false},
}};

constexpr named_table service_routes = {"routes", "route",
                                        name_of_service_route, true};

/// Groups of settings by name.
constexpr std::array<const char*, 3> setting_groups = {"callers", "limits",
                                                       "automation"};

/// Returns \p row with the beginnings of its key digests, which tell keys apart
/// without repeating the stored values in logs of the output.
json with_short_digests(json row)
{
    constexpr std::size_t shown_digits = 12;
    if (!row.is_object() || !row.contains("keys"))
        return row;
    for (json& key : row["keys"]) {
        key =
            "sha256:" + key.get<std::string>().substr(0, shown_digits) + "...";
    }
    return row;
}

json member_of(const json& parent, const char* name, json otherwise)
{
    return parent.is_object() ? parent.value(name, std::move(otherwise))
                              : std::move(otherwise);
}

std::string member_pointer(std::string_view parent, std::string_view name)
{
    return std::string(parent).append("/").append(name);
}

std::set<std::string> fields_of(const json& left, const json& right)
{
    std::set<std::string> names;
    for (const json* side : {&left, &right}) {
        for (const auto& [name, value] : side->items())
            names.insert(name);
    }
    return names;
}

class change_finder
{
public:
    change_finder(const document& before, const document& after)
        : before_(before), after_(after)
    {
    }

    std::vector<finding> run(bool compare_overlays) &&
    {
        for (const named_table& table : base_tables)
            compare_tables(table, before_.base, after_.base, "", "");
        for (const char* group : setting_groups)
            compare_settings(group, before_.base, after_.base);
        report_withdrawn_keys();
        if (compare_overlays)
            compare_all_overlays();
        return std::move(findings_);
    }

private:
    struct located_row
    {
        const json* row = nullptr;
        std::size_t index = 0;
    };
    using rows_by_name = std::map<std::string, located_row>;

    static rows_by_name rows_of(const named_table& table, const json& parent);

    void report(const std::string& subject,
                std::string pointer,
                const json& before,
                const json& after);
    void compare_tables(const named_table& table,
                        const json& before,
                        const json& after,
                        const std::string& parent_pointer,
                        const std::string& parent_subject);
    void compare_rows(const std::string& subject,
                      const std::string& pointer,
                      const json& before,
                      const json& after);
    void compare_order(const named_table& table,
                       const json& before,
                       const json& after,
                       const std::string& pointer,
                       const std::string& parent_subject);
    void
    compare_settings(const char* group, const json& before, const json& after);
    void compare_all_overlays();
    void report_withdrawn_keys();

    const document& before_;
    const document& after_;
    /// Site of the overlay being compared; empty for the base document.
    std::string site_;
    std::vector<finding> findings_;
};

void change_finder::report(const std::string& subject,
                           std::string pointer,
                           const json& before,
                           const json& after)
{
    if (before == after)
        return;
    const char* const code =
        before.is_null() ? "added" : (after.is_null() ? "removed" : "changed");
    const bool changed = !before.is_null() && !after.is_null();
    std::string message = subject + " " + code;
    if (changed)
        message += " from " + before.dump() + " to " + after.dump();
    else
        message += ": " + (before.is_null() ? after : before).dump();
    findings_.push_back(
        {code, severity::note, site_, std::move(pointer), std::move(message),
         "none needed if the change is intended", before, after});
}

change_finder::rows_by_name change_finder::rows_of(const named_table& table,
                                                   const json& parent)
{
    rows_by_name rows;
    const auto found = parent.find(table.field);
    if (found == parent.end())
        return rows;
    std::size_t index = 0;
    for (const json& row : *found)
        rows.insert_or_assign(table.name_of(row), located_row{&row, index++});
    return rows;
}

/// An entry that was removed is located at its table.
void change_finder::compare_tables(const named_table& table,
                                   const json& before,
                                   const json& after,
                                   const std::string& parent_pointer,
                                   const std::string& parent_subject)
{
    const rows_by_name old_rows = rows_of(table, before);
    const rows_by_name new_rows = rows_of(table, after);
    const std::string pointer = parent_pointer + "/" + table.field;
    const auto subject_of = [&](const std::string& name) {
        return parent_subject + table.kind + " \"" + name + "\"";
    };
    for (const auto& [name, old_row] : old_rows) {
        if (!new_rows.contains(name))
            report(subject_of(name),
                   after.contains(table.field) ? pointer : parent_pointer,
                   with_short_digests(*old_row.row), nullptr);
    }
    for (const auto& [name, new_row] : new_rows) {
        const std::string row_pointer =
            pointer + "/" + std::to_string(new_row.index);
        const auto old_row = old_rows.find(name);
        if (old_row == old_rows.end()) {
            report(subject_of(name), row_pointer, nullptr,
                   with_short_digests(*new_row.row));
            continue;
        }
        compare_rows(subject_of(name), row_pointer, *old_row->second.row,
                     *new_row.row);
    }
    if (table.ordered)
        compare_order(table, before, after, pointer, parent_subject);
}

void change_finder::compare_rows(const std::string& subject,
                                 const std::string& pointer,
                                 const json& before,
                                 const json& after)
{
    if (before == after)
        return;
    const json old_row = with_short_digests(before);
    const json new_row = with_short_digests(after);
    for (const std::string& field : fields_of(old_row, new_row)) {
        if (field == service_routes.field) {
            compare_tables(service_routes, before, after, pointer,
                           subject + " ");
            continue;
        }
        const json absent;
        const json& old_value =
            old_row.contains(field) ? old_row[field] : absent;
        const json& new_value =
            new_row.contains(field) ? new_row[field] : absent;
        report(std::string(subject).append(" ").append(field),
               new_row.contains(field) ? member_pointer(pointer, field)
                                       : pointer,
               old_value, new_value);
    }
}

/// Compares the order of the entries that both tables have.
void change_finder::compare_order(const named_table& table,
                                  const json& before,
                                  const json& after,
                                  const std::string& pointer,
                                  const std::string& parent_subject)
{
    const rows_by_name old_rows = rows_of(table, before);
    const rows_by_name new_rows = rows_of(table, after);
    const auto common_names = [&](const json& parent,
                                  const rows_by_name& others) {
        json names = json::array();
        for (const json& row : member_of(parent, table.field, json::array())) {
            if (others.contains(table.name_of(row)))
                names.push_back(table.name_of(row));
        }
        return names;
    };
    report(parent_subject + "order of " + table.field, pointer,
           common_names(before, new_rows), common_names(after, old_rows));
}

void change_finder::compare_settings(const char* group,
                                     const json& before,
                                     const json& after)
{
    const json old_group = member_of(before, group, json::object());
    const json new_group = member_of(after, group, json::object());
    const std::string group_pointer = std::string("/") + group;
    for (const std::string& name : fields_of(old_group, new_group)) {
        std::string pointer = after.contains(group) ? group_pointer : "";
        if (new_group.contains(name))
            pointer = member_pointer(group_pointer, name);
        report("setting " + std::string(group) + "/" + name, std::move(pointer),
               old_group.value(name, json()), new_group.value(name, json()));
    }
}

void change_finder::compare_all_overlays()
{
    static const json absent = json::object();
    std::set<std::string> sites;
    for (const document* side : {&before_, &after_}) {
        for (const overlay_document& overlay : side->overlays)
            sites.insert(overlay.site);
    }
    for (const std::string& site : sites) {
        const overlay_document* const old_overlay = find_overlay(before_, site);
        const overlay_document* const new_overlay = find_overlay(after_, site);
        if (new_overlay == nullptr) {
            site_.clear();
            report("overlay of site \"" + site + "\"", "", old_overlay->body,
                   nullptr);
            continue;
        }
        site_ = site;
        for (const char* group : {"limits", "automation"}) {
            compare_settings(
                group, old_overlay == nullptr ? absent : old_overlay->body,
                new_overlay->body);
        }
    }
    site_.clear();
}

void change_finder::report_withdrawn_keys()
{
    const char* const table = "organisations";
    if (!before_.base.contains(table) || after_.base.contains(table))
        return;
    findings_.push_back(
        {"keys-switched-off", severity::warning, "", "",
         "the table of organisations was removed, so that calls need no key",
         "keep an empty table to refuse calls without a key", nullptr,
         nullptr});
}

} // namespace

std::vector<finding> find_changes(const document& before,
                                  const document& after,
                                  bool compare_overlays)
{
    return change_finder(before, after).run(compare_overlays);
}

} // namespace galenarudder::config
