// Reads the base document and overlays, collects every error, and compares
// documents.
#include "galenarudder/operators/file_set.hpp"

#include "galenarudder/config/check.hpp"
#include "galenarudder/config/settings.hpp"

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>

namespace galenarudder::operators {

using nlohmann::json;

namespace {

using parse_function = support::result<json> (*)(std::string_view,
                                                 std::string_view);

/// The path and text of a file that was read.
struct source_file
{
    std::string path;
    std::string text;
};

/// Reads and validates the files.
class file_reader
{
public:
    file_set run(const std::string& base_path,
                 const std::string& overlay_folder) &&
    {
        read_document("", base_path, config::parse_base,
                      result_.full_document.base);
        for (const std::filesystem::path& path : list_overlays(overlay_folder))
            read_overlay(path);
        if (result_.errors.empty())
            check_documents();
        return std::move(result_);
    }

private:
    std::vector<std::filesystem::path> list_overlays(const std::string& folder);
    void read_overlay(const std::filesystem::path& path);
    bool read_document(const std::string& site,
                       const std::string& path,
                       parse_function parse,
                       json& document_json);
    void check_documents();

    file_set result_;
    /// The files that could be parsed, by site; the base document under "".
    std::map<std::string, source_file> sources_;
};

std::vector<std::filesystem::path>
file_reader::list_overlays(const std::string& folder)
{
    std::vector<std::filesystem::path> paths;
    if (folder.empty())
        return paths;
    std::error_code failure;
    for (const auto& entry :
         std::filesystem::directory_iterator(folder, failure)) {
        if (entry.path().extension() == ".json")
            paths.push_back(entry.path());
    }
    if (failure) {
        result_.errors.push_back({folder, 0, "",
                                  "cannot be listed: " + failure.message(),
                                  "check the path given by --overlays"});
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

void file_reader::read_overlay(const std::filesystem::path& path)
{
    const std::string site = path.stem().string();
    json body;
    if (read_document(site, path.string(), config::parse_overlay, body))
        result_.full_document.overlays.push_back({site, std::move(body)});
}

bool file_reader::read_document(const std::string& site,
                                const std::string& path,
                                parse_function parse,
                                json& document_json)
{
    auto text = config::read_file(path);
    if (!text) {
        result_.errors.push_back(
            {path, 0, "", "cannot be opened", text.error().remedy});
        return false;
    }
    auto parsed = parse(text.value(), path);
    if (!parsed) {
        // The message already names the file, line and path.
        result_.errors.push_back(
            {"", 0, "", parsed.error().message, parsed.error().remedy});
        return false;
    }
    document_json = std::move(parsed).value();
    sources_[site] = {path, std::move(text).value()};
    return true;
}

void file_reader::check_documents()
{
    for (const config::validation_error& violation :
         config::check_cross_document_rules(result_.full_document)) {
        const source_file& file = sources_.at(violation.site);
        result_.errors.push_back(
            {file.path, config::line_of_pointer(file.text, violation.pointer),
             violation.pointer, violation.message, violation.remedy});
    }
    const std::size_t size = config::serialize(result_.full_document).size();
    if (size <= config::max_stored_bytes)
        return;
    result_.errors.push_back({sources_.at("").path, 0, "",
                              "base document and overlays take " +
                                  std::to_string(size) +
                                  " bytes, above the store's limit of " +
                                  std::to_string(config::max_stored_bytes),
                              "remove settings that repeat the base"});
}

/// Returns every scalar of the base document and the overlays, by document and
/// path.
std::map<std::pair<std::string, std::string>, json>
flatten(const config::document& full_document)
{
    std::map<std::pair<std::string, std::string>, json> values;
    const json base = full_document.base.flatten();
    for (const auto& [pointer, value] : base.items())
        values[{"base", pointer}] = value;
    for (const config::overlay_document& overlay : full_document.overlays) {
        const json body = overlay.body.flatten();
        for (const auto& [pointer, value] : body.items())
            values[{"overlay " + overlay.site, pointer}] = value;
    }
    return values;
}

} // namespace

std::string describe(const file_error& failure)
{
    std::string text = failure.file;
    if (failure.line != 0)
        text += ": line " + std::to_string(failure.line);
    if (!failure.pointer.empty())
        text += ": " + failure.pointer;
    if (!text.empty())
        text += ": ";
    return text + failure.message + "; remedy: " + failure.remedy;
}

file_set read_file_set(const std::string& base_path,
                       const std::string& overlay_folder)
{
    return file_reader().run(base_path, overlay_folder);
}

std::string describe(const difference& changed_value)
{
    const std::string before =
        changed_value.before.is_null() ? "absent" : changed_value.before.dump();
    const std::string after =
        changed_value.after.is_null() ? "absent" : changed_value.after.dump();
    return changed_value.document + " " + changed_value.pointer + ": " +
           before + " -> " + after;
}

std::vector<difference> find_differences(const config::document& before,
                                         const config::document& after)
{
    const auto old_values = flatten(before);
    const auto new_values = flatten(after);
    std::set<std::pair<std::string, std::string>> value_paths;
    for (const auto& [value_path, value] : old_values)
        value_paths.insert(value_path);
    for (const auto& [value_path, value] : new_values)
        value_paths.insert(value_path);
    std::vector<difference> differences;
    for (const auto& value_path : value_paths) {
        const auto old_entry = old_values.find(value_path);
        const auto new_entry = new_values.find(value_path);
        const json old_value =
            old_entry == old_values.end() ? json() : old_entry->second;
        const json new_value =
            new_entry == new_values.end() ? json() : new_entry->second;
        if (old_value == new_value)
            continue;
        differences.push_back(
            {value_path.first, value_path.second, old_value, new_value});
    }
    return differences;
}

} // namespace galenarudder::operators
