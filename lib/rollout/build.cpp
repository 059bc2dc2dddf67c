// Each document is parsed and validated once; patches are made from the parsed
// forms.
#include "galenarudder/rollout/build.hpp"

#include "galenarudder/config/json_text.hpp"
#include "galenarudder/support/pause_point.hpp"

namespace galenarudder::rollout {

using nlohmann::json;

namespace {

support::result<void> read_patch(const build_input& input,
                                 built_document& built)
{
    if (!input.current) {
        return support::error{support::error_kind::conflict,
                              "there is no document to apply the patch to",
                              "fetch the full document"};
    }
    BOOST_OUTCOME_TRY(auto patched,
                      apply_patch(config::to_json(input.current->content),
                                  input.current->id, input.received));
    BOOST_OUTCOME_TRY(built.content,
                      config::read_document(std::move(patched.first)));
    built.text = std::move(patched.second);
    return boost::outcome_v2::success();
}

support::result<void> read_full(const build_input& input, built_document& built)
{
    BOOST_OUTCOME_TRYV(check_hash(input.received.body, input.received));
    BOOST_OUTCOME_TRY(built.content,
                      config::parse_document(input.received.body));
    built.text = input.received.body;
    return boost::outcome_v2::success();
}

support::result<void> read_stored(const build_input& input,
                                  built_document& built)
{
    BOOST_OUTCOME_TRY(built.content, input.read_stored(input.received.body));
    support::pause_point();
    built.text = config::serialize(built.content);
    return boost::outcome_v2::success();
}

std::string patch_between(const config::document& from,
                          const config::document& to,
                          std::size_t max_bytes)
{
    json operations =
        make_patch(config::to_json_without_base(from),
                   config::to_json_without_base(to), json::json_pointer());
    json base_operations =
        make_patch(from.base, to.base, json::json_pointer("/base"));
    for (json& operation : base_operations)
        operations.push_back(std::move(operation));
    std::string patch;
    config::append_json(operations, patch);
    return patch.size() < max_bytes ? patch : std::string();
}

} // namespace

support::result<built_document_ptr> build(const build_input& input)
{
    auto built = std::make_shared<built_document>();
    const bool is_stored = input.received.to.version == 0;
    const auto read = is_stored                   ? read_stored
                      : input.received.is_patch() ? read_patch
                                                  : read_full;
    BOOST_OUTCOME_TRYV(read(input, *built));
    support::pause_point();
    built->id = {built->content.version, hash_of(built->text)};
    const bool newer =
        !input.current || built->id.version > input.current->id.version;
    if (!newer)
        return built_document_ptr(std::move(built));
    BOOST_OUTCOME_TRY(
        config::configuration effective,
        config::effective_configuration(built->content, input.site));
    built->effective =
        std::make_shared<const config::configuration>(std::move(effective));
    support::pause_point();
    if (input.current) {
        built->patch = patch_between(input.current->content, built->content,
                                     built->text.size());
    }
    return built_document_ptr(std::move(built));
}

} // namespace galenarudder::rollout
