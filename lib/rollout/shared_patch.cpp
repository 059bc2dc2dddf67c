// Operations on rows are written and applied row by row; the head of a document
// is small and patched by nlohmann::json.
#include "galenarudder/rollout/shared_patch.hpp"

#include "galenarudder/rollout/array_edit.hpp"
#include "galenarudder/rollout/transfer.hpp"
#include "galenarudder/support/json.hpp"
#include "galenarudder/support/pause_point.hpp"

#include <charconv>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenarudder::rollout {

using config::shared_document;
using config::shared_table;
using nlohmann::json;

namespace {

constexpr std::string_view base_path = "/base";

std::string path_of(shared_table table)
{
    return std::string(base_path) + "/" + config::name_of(table);
}

/// Writes the operations of a patch up to a number of bytes.
class patch_writer
{
public:
    explicit patch_writer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    bool is_full() const { return text_.size() >= max_bytes_; }
    void add(std::string_view operation)
    {
        text_.append(text_.size() == 1 ? "" : ",").append(operation);
    }
    std::string finish() &&
    {
        text_ += ']';
        return text_.size() < max_bytes_ ? std::move(text_) : std::string();
    }

private:
    std::size_t max_bytes_;
    std::string text_ = "[";
};

std::string
row_operation(std::string_view name, shared_table table, std::size_t position)
{
    std::string text = R"({"op":")";
    text.append(name).append(R"(","path":")").append(path_of(table));
    text.append("/").append(std::to_string(position)).append("\"");
    return text;
}

void write_rows(const shared_document& from,
                const shared_document& to,
                shared_table table,
                patch_writer& patch)
{
    const config::row_difference difference =
        config::difference_between(from.rows(table), to.rows(table));
    std::unordered_map<std::uint64_t, std::vector<std::size_t>> numbers;
    std::vector<config::text_hash> hashes;
    const auto number_of = [&](const config::table_row_ptr& row) {
        std::vector<std::size_t>& same_low = numbers[row->text_id.low];
        for (const std::size_t number : same_low) {
            if (hashes[number] == row->text_id)
                return number;
        }
        same_low.push_back(hashes.size());
        hashes.push_back(row->text_id);
        return same_low.back();
    };
    std::vector<std::size_t> removed_numbers;
    for (const config::table_row_ptr& row : difference.removed)
        removed_numbers.push_back(number_of(row));
    std::vector<std::size_t> added_numbers;
    for (const config::table_row_ptr& row : difference.added)
        added_numbers.push_back(number_of(row));
    const array_edit edit = edit_between(removed_numbers, added_numbers);
    for (const std::size_t position : edit.removed) {
        if (patch.is_full())
            return;
        patch.add(row_operation("remove", table, difference.begin + position) +
                  "}");
    }
    for (const std::size_t position : edit.added) {
        if (patch.is_full())
            return;
        patch.add(row_operation("add", table, difference.begin + position) +
                  ",\"value\":" + difference.added[position]->text + "}");
    }
}

/// Returns the table whose rows \p path is about.
std::optional<shared_table> table_of_path(std::string_view path)
{
    for (const shared_table table : config::shared_tables) {
        const std::string prefix = path_of(table);
        if (path.starts_with(prefix) &&
            (path.size() == prefix.size() || path[prefix.size()] == '/'))
            return table;
    }
    return std::nullopt;
}

/// Reads the position from "/base/TABLE/POSITION".
std::optional<std::size_t> position_in(std::string_view path,
                                       shared_table table)
{
    const std::string prefix = path_of(table) + "/";
    if (!path.starts_with(prefix) || path.size() == prefix.size())
        return std::nullopt;
    const std::string_view digits = path.substr(prefix.size());
    std::size_t position = 0;
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), position);
    const bool is_plain = parsed.ptr == digits.data() + digits.size() &&
                          (digits == "0" || digits.front() != '0');
    return is_plain ? std::optional(position) : std::nullopt;
}

bool apply_to_rows(const json& operation,
                   shared_table table,
                   shared_document& patched)
{
    const auto position =
        position_in(operation["path"].get_ref<const std::string&>(), table);
    if (!position)
        return false;
    config::table_rows& rows = patched.rows(table);
    const auto offset = static_cast<std::ptrdiff_t>(*position);
    if (operation["op"] == "remove" && *position < rows.size()) {
        rows.erase(rows.begin() + offset);
        return true;
    }
    const bool adds = operation["op"] == "add" && *position <= rows.size() &&
                      operation.contains("value");
    if (!adds)
        return false;
    config::table_row_ptr row = config::make_row(table, operation["value"]);
    if (!row)
        return false;
    rows.insert(rows.begin() + offset, std::move(row));
    return true;
}

bool has_text(const json& operation, const char* name)
{
    return operation.is_object() && operation.contains(name) &&
           operation[name].is_string();
}

/// Returns whether an operation outside of the tables changes one value there.
bool is_plain_head_operation(const json& operation)
{
    const json& name = operation["op"];
    const auto& path = operation["path"].get_ref<const std::string&>();
    const bool is_plain =
        name == "add" || name == "remove" || name == "replace";
    return is_plain && !path.empty() && path != base_path;
}

} // namespace

std::string patch_between(const shared_document& from,
                          const shared_document& to,
                          std::size_t max_bytes)
{
    patch_writer patch(max_bytes);
    for (const json& operation :
         make_patch(from.head, to.head, json::json_pointer()))
        patch.add(operation.dump());
    for (const shared_table table : config::shared_tables) {
        if (to.head.at("base").contains(config::name_of(table)))
            write_rows(from, to, table, patch);
    }
    return std::move(patch).finish();
}

std::optional<shared_document> apply_shared(const shared_document& current,
                                            std::string_view operations)
{
    const auto parsed = support::parse_json(operations);
    if (!parsed || !parsed.value().is_array())
        return std::nullopt;
    shared_document patched = current;
    json head_operations = json::array();
    for (const json& operation : parsed.value()) {
        support::pause_point();
        if (!has_text(operation, "op") || !has_text(operation, "path"))
            return std::nullopt;
        const auto table =
            table_of_path(operation["path"].get_ref<const std::string&>());
        if (table && !apply_to_rows(operation, *table, patched))
            return std::nullopt;
        if (!table && !is_plain_head_operation(operation))
            return std::nullopt;
        if (!table)
            head_operations.push_back(operation);
    }
    try {
        patched.head.patch_inplace(head_operations);
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return patched;
}

} // namespace galenarudder::rollout
