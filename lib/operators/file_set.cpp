// Reads base and overlays, gathers every fault, compares documents.
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

using parser = support::result<json> (*)(std::string_view, std::string_view);

/// Paths and texts of the files read, by site; the base under "".
struct source
{
    std::string path;
    std::string text;
};

class reader
{
public:
    file_set run(const std::string& base_path,
                 const std::string& overlay_folder) &&
    {
        read_one("", base_path, config::parse_base, read_.whole.base);
        for (const std::filesystem::path& path : overlays_in(overlay_folder))
            read_overlay(path);
        if (read_.faults.empty())
            check_whole();
        return std::move(read_);
    }

private:
    std::vector<std::filesystem::path> overlays_in(const std::string& folder);
    void read_overlay(const std::filesystem::path& path);
    bool read_one(const std::string& site,
                  const std::string& path,
                  parser parse,
                  json& into);
    void check_whole();

    file_set read_;
    std::map<std::string, source> sources_;
};

std::vector<std::filesystem::path>
reader::overlays_in(const std::string& folder)
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
        read_.faults.push_back({folder, 0, "",
                                "cannot be listed: " + failure.message(),
                                "check the path given by --overlays"});
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

void reader::read_overlay(const std::filesystem::path& path)
{
    const std::string site = path.stem().string();
    json body;
    if (read_one(site, path.string(), config::parse_overlay, body))
        read_.whole.overlays.push_back({site, std::move(body)});
}

bool reader::read_one(const std::string& site,
                      const std::string& path,
                      parser parse,
                      json& into)
{
    auto text = config::read_file(path);
    if (!text) {
        read_.faults.push_back(
            {path, 0, "", "cannot be opened", text.error().remedy});
        return false;
    }
    auto parsed = parse(text.value(), path);
    if (!parsed) {
        // The message names file, line and path already.
        read_.faults.push_back(
            {"", 0, "", parsed.error().message, parsed.error().remedy});
        return false;
    }
    into = std::move(parsed).value();
    sources_[site] = {path, std::move(text).value()};
    return true;
}

void reader::check_whole()
{
    for (const config::finding& found : config::check_set(read_.whole)) {
        const source& from = sources_.at(found.site);
        read_.faults.push_back(
            {from.path, config::line_of_pointer(from.text, found.pointer),
             found.pointer, found.message, found.remedy});
    }
    const std::size_t size = config::serialize(read_.whole).size();
    if (size <= config::max_stored_bytes)
        return;
    read_.faults.push_back({sources_.at("").path, 0, "",
                            "base and overlays take " + std::to_string(size) +
                                " bytes, above the store's bound " +
                                std::to_string(config::max_stored_bytes),
                            "remove settings that repeat the base"});
}

/// Every scalar of base and overlays, by document and path.
std::map<std::pair<std::string, std::string>, json>
flatten(const config::document& whole)
{
    std::map<std::pair<std::string, std::string>, json> values;
    const json base = whole.base.flatten();
    for (const auto& [pointer, value] : base.items())
        values[{"base", pointer}] = value;
    for (const config::overlay_document& overlay : whole.overlays) {
        const json body = overlay.body.flatten();
        for (const auto& [pointer, value] : body.items())
            values[{"overlay " + overlay.site, pointer}] = value;
    }
    return values;
}

} // namespace

std::string describe(const file_fault& fault)
{
    std::string text = fault.file;
    if (fault.line != 0)
        text += ": line " + std::to_string(fault.line);
    if (!fault.pointer.empty())
        text += ": " + fault.pointer;
    if (!text.empty())
        text += ": ";
    return text + fault.message + "; remedy: " + fault.remedy;
}

file_set read_file_set(const std::string& base_path,
                       const std::string& overlay_folder)
{
    return reader().run(base_path, overlay_folder);
}

std::string describe(const difference& found)
{
    const std::string before =
        found.before.is_null() ? "absent" : found.before.dump();
    const std::string after =
        found.after.is_null() ? "absent" : found.after.dump();
    return found.document + " " + found.pointer + ": " + before + " -> " +
           after;
}

std::vector<difference> differences(const config::document& before,
                                    const config::document& after)
{
    const auto old_values = flatten(before);
    const auto new_values = flatten(after);
    std::set<std::pair<std::string, std::string>> paths;
    for (const auto& [path, value] : old_values)
        paths.insert(path);
    for (const auto& [path, value] : new_values)
        paths.insert(path);
    std::vector<difference> found;
    for (const auto& path : paths) {
        const auto was = old_values.find(path);
        const auto is = new_values.find(path);
        const json old_value = was == old_values.end() ? json() : was->second;
        const json new_value = is == new_values.end() ? json() : is->second;
        if (old_value == new_value)
            continue;
        found.push_back({path.first, path.second, old_value, new_value});
    }
    return found;
}

} // namespace galenarudder::operators
