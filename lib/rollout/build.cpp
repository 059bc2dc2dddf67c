// What a document shares with the one in force is kept. A document of which
// that cannot be told is read as a whole, which also describes its errors.
#include "galenarudder/rollout/build.hpp"

#include "galenarudder/config/json_text.hpp"
#include "galenarudder/rollout/shared_patch.hpp"
#include "galenarudder/support/pause_point.hpp"

namespace galenarudder::rollout {

namespace {

const config::shared_document* content_of(const built_document_ptr& built)
{
    return built ? &built->content : nullptr;
}

/// The kinds of received documents. Each has a way to read what has changed,
/// which returns false if the document has to be read as a whole.
struct reader
{
    bool (*read_shared)(const build_input& input, built_document& built);
    support::result<void> (*read_whole)(const build_input& input,
                                        built_document& built);
};

bool patch_shared(const build_input& input, built_document& built)
{
    const transfer& received = input.received;
    if (!input.current || input.current->id.hash != received.from.hash)
        return false;
    auto patched = apply_shared(input.current->content, received.body);
    if (!patched || !config::conforms(*patched, &input.current->content))
        return false;
    built.content = std::move(*patched);
    built.text = config::serialize(built.content);
    return check_hash(built.text, received).has_value();
}

support::result<void> patch_whole(const build_input& input,
                                  built_document& built)
{
    if (!input.current) {
        return support::error{support::error_kind::conflict,
                              "there is no document to apply the patch to",
                              "fetch the full document"};
    }
    const config::document current =
        config::to_document(input.current->content);
    BOOST_OUTCOME_TRY(auto patched,
                      apply_patch(config::to_json(current), input.current->id,
                                  input.received));
    BOOST_OUTCOME_TRY(const config::document content,
                      config::read_document(std::move(patched.first)));
    built.content = config::share(content);
    built.text = std::move(patched.second);
    return boost::outcome_v2::success();
}

bool read_full_shared(const build_input& input, built_document& built)
{
    const transfer& received = input.received;
    const config::shared_document* earlier = content_of(input.current);
    if (!check_hash(received.body, received))
        return false;
    auto content = config::read_shared(received.body, earlier);
    if (!content || !config::conforms(*content, earlier))
        return false;
    built.content = std::move(*content);
    built.text = config::serialize(built.content);
    return built.text == received.body;
}

support::result<void> read_full_whole(const build_input& input,
                                      built_document& built)
{
    BOOST_OUTCOME_TRYV(check_hash(input.received.body, input.received));
    BOOST_OUTCOME_TRY(const config::document content,
                      config::parse_document(input.received.body));
    built.content = config::share(content);
    built.text = input.received.body;
    return boost::outcome_v2::success();
}

bool read_stored_shared(const build_input& input, built_document& built)
{
    const config::shared_document* earlier = content_of(input.current);
    auto content = input.read_stored.read_shared(input.received.body, earlier);
    if (!content || !config::conforms(*content, earlier))
        return false;
    built.content = std::move(*content);
    support::pause_point();
    built.text = config::serialize(built.content);
    return true;
}

support::result<void> read_stored_whole(const build_input& input,
                                        built_document& built)
{
    BOOST_OUTCOME_TRY(const config::document content,
                      input.read_stored.read(input.received.body));
    support::pause_point();
    built.content = config::share(content);
    built.text = config::serialize(built.content);
    return boost::outcome_v2::success();
}

constexpr reader patch_reader = {patch_shared, patch_whole};
constexpr reader full_reader = {read_full_shared, read_full_whole};
constexpr reader stored_reader = {read_stored_shared, read_stored_whole};

/// Sets the configuration of the site from the one in force. Returns whether
/// that can be done.
bool build_effective_shared(const build_input& input, built_document& built)
{
    auto effective = config::effective_configuration(
        built.content, input.site, content_of(input.current),
        input.current ? input.current->effective.get() : nullptr);
    if (!effective)
        return false;
    built.effective =
        std::make_shared<const config::configuration>(std::move(*effective));
    return true;
}

support::result<void> build_effective_whole(const build_input& input,
                                            built_document& built)
{
    BOOST_OUTCOME_TRY(config::configuration effective,
                      config::effective_configuration(
                          config::to_document(built.content), input.site));
    built.effective =
        std::make_shared<const config::configuration>(std::move(effective));
    return boost::outcome_v2::success();
}

/// Reads the received document and sets its id.
support::result<void>
read(const build_input& input, const reader& read_with, built_document& built)
{
    if (!read_with.read_shared(input, built)) {
        BOOST_OUTCOME_TRYV(read_with.read_whole(input, built));
    }
    support::pause_point();
    built.id = {built.content.version(), hash_of(built.text)};
    return boost::outcome_v2::success();
}

} // namespace

support::result<built_document_ptr> build(const build_input& input)
{
    auto built = std::make_shared<built_document>();
    const bool is_stored = input.received.to.version == 0;
    const reader& read_with = is_stored                   ? stored_reader
                              : input.received.is_patch() ? patch_reader
                                                          : full_reader;
    BOOST_OUTCOME_TRYV(read(input, read_with, *built));
    if (input.current && built->id == input.current->id) {
        built->effective = input.current->effective;
        built->patch = input.current->patch;
        return built_document_ptr(std::move(built));
    }
    if (!build_effective_shared(input, *built)) {
        // What the rows state together may be invalid.
        BOOST_OUTCOME_TRYV(read_with.read_whole(input, *built));
        built->id = {built->content.version(), hash_of(built->text)};
        BOOST_OUTCOME_TRYV(build_effective_whole(input, *built));
    }
    const bool newer =
        !input.current || built->id.version > input.current->id.version;
    if (!newer)
        return built_document_ptr(std::move(built));
    support::pause_point();
    if (input.current) {
        built->patch = patch_between(input.current->content, built->content,
                                     built->text.size());
    }
    return built_document_ptr(std::move(built));
}

} // namespace galenarudder::rollout
