// The configuration reaches all members and never reverts to a lower version,
// whatever the store and the peers send.
#include "galenarudder/rollout/rollout.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <utility>

using namespace galenarudder;
using namespace std::chrono_literals;

namespace {

const support::time_point start{};

std::string document_text(std::uint64_t version, const std::string& change)
{
    config::document configuration;
    configuration.version = version;
    configuration.change_id = change;
    configuration.author = "ana";
    configuration.base = nlohmann::json::parse(R"({
      "format": "galenarudder-base-1",
      "ranks": [{"name": "urgent"}, {"name": "normal"}, {"name": "bulk"}],
      "services": []})");
    for (int number = 0; number < 20; ++number) {
        configuration.base["services"].push_back(
            {{"name", "service-" + std::to_string(number)},
             {"routes", {{{"rank", "normal"}}}}});
    }
    return config::serialize(configuration);
}

membership::member_record record_of(const std::string& id,
                                    const std::string& domain,
                                    std::uint64_t version)
{
    membership::member_record record;
    record.id = id;
    record.domain = domain;
    record.state = membership::member_state::alive;
    record.operators = {id, 7105};
    record.configuration_version = version;
    return record;
}

template <typename Kind>
std::vector<Kind> actions_of_type(const std::vector<rollout::action>& actions)
{
    std::vector<Kind> matches;
    for (const rollout::action& action : actions) {
        if (const auto* matching = std::get_if<Kind>(&action))
            matches.push_back(*matching);
    }
    return matches;
}

/// Performs the builds that \p actions ask for, and returns all actions with
/// those that follow.
std::vector<rollout::action> with_builds(rollout::rollout& daemon,
                                         std::vector<rollout::action> actions,
                                         support::time_point now = start)
{
    for (std::size_t index = 0; index < actions.size(); ++index) {
        const auto* request =
            std::get_if<rollout::build_document>(&actions[index]);
        if (request == nullptr)
            continue;
        const rollout::build_document asked = *request;
        for (rollout::action& next : daemon.on_built(
                 asked.build_number, rollout::build(*asked.input), now))
            actions.push_back(std::move(next));
    }
    return actions;
}

/// Daemons whose pushes and pulls are lost with probability \c loss_percent;
/// the store does not answer the watches of members of \c
/// domain_without_watches.
class fleet
{
public:
    explicit fleet(std::size_t size)
    {
        constexpr std::size_t domains = 4;
        for (std::size_t number = 0; number < size; ++number) {
            const std::string id = "m" + std::to_string(number);
            domain_by_id_[id] = "d" + std::to_string(number % domains);
            daemons_.try_emplace(id, id, domain_by_id_[id], number);
        }
        spread_versions();
    }

    void step(support::milliseconds span)
    {
        now_ += span;
        for (auto& [id, daemon] : daemons_)
            perform(id, daemon.on_tick(now_));
        spread_versions();
    }
    /// Writes \p text to the store and answers the open watches.
    void store_document(const std::string& text)
    {
        ++store_index_.number;
        store_text_ = text;
        const auto answered_watches = std::exchange(open_watches_, {});
        for (const auto& [id, watch] : answered_watches) {
            perform(id, daemons_.at(id).on_watch_answer(watch, store_text_,
                                                        store_index_, now_));
        }
    }
    std::size_t count_at(std::uint64_t version) const
    {
        std::size_t count = 0;
        for (const auto& [id, daemon] : daemons_)
            count += daemon.version() == version ? 1 : 0;
        return count;
    }
    std::size_t reversions() const
    {
        std::size_t count = 0;
        for (const auto& [id, daemon] : daemons_)
            count += daemon.counters().reversions_adopted;
        return count;
    }
    std::size_t open_watches() const { return open_watches_.size(); }
    std::size_t store_reads() const { return store_reads_; }
    std::size_t restores() const { return store_restores_; }

    std::uint64_t loss_percent = 0;
    std::string domain_without_watches;

private:
    void spread_versions()
    {
        for (auto& [id, daemon] : daemons_) {
            for (const auto& [other_id, other] : daemons_) {
                daemon.on_member(record_of(other_id, domain_by_id_.at(other_id),
                                           other.version()),
                                 now_);
            }
            daemon.on_peer_message(now_);
        }
    }
    bool message_lost()
    {
        return support::uniform_below(random_, 100) < loss_percent;
    }
    void perform(const std::string& id,
                 const std::vector<rollout::action>& actions)
    {
        for (const rollout::action& action : actions)
            std::visit([&](const auto& request) { execute(id, request); },
                       action);
    }
    void execute(const std::string&, const rollout::adopt&) {}
    void execute(const std::string&, const rollout::release_document&) {}
    void execute(const std::string& id, const rollout::build_document& request)
    {
        perform(id,
                daemons_.at(id).on_built(request.build_number,
                                         rollout::build(*request.input), now_));
    }
    void execute(const std::string& id, const rollout::read_store&)
    {
        ++store_reads_;
        perform(id, daemons_.at(id).on_store_answer(store_text_, store_index_,
                                                    now_));
    }
    void execute(const std::string& id, const rollout::watch_store& request)
    {
        if (domain_by_id_.at(id) == domain_without_watches)
            return;
        open_watches_[id] = request.watch_number;
    }
    void execute(const std::string& id, const rollout::ask_store&)
    {
        perform(id, daemons_.at(id).on_store_asked(store_text_, store_index_,
                                                   now_));
    }
    void execute(const std::string&, const rollout::send_confirmation& request)
    {
        daemons_.at(request.observer).on_confirmation(request.stated, now_);
    }
    void execute(const std::string&, const rollout::restore_store& request)
    {
        if (request.expected_index != store_index_)
            return;
        ++store_restores_;
        store_document(request.document);
    }
    void execute(const std::string& id, const rollout::push_to_peer& request)
    {
        if (message_lost()) {
            perform(id, daemons_.at(id).on_push_failed(request.peer, now_));
            return;
        }
        perform(
            request.peer,
            daemons_.at(request.peer).on_transfer(request.encoded, id, now_));
    }
    void execute(const std::string& id, const rollout::pull_from_peer& request)
    {
        rollout::rollout& daemon = daemons_.at(id);
        if (message_lost()) {
            perform(id, daemon.on_pull_failed(request.peer, now_));
            return;
        }
        const std::string answer =
            daemons_.at(request.peer).transfer_for(request.current_id);
        perform(id, daemon.on_pull_answer(request.peer, answer, now_));
    }

    support::time_point now_ = start;
    support::random_engine random_{11};
    std::map<std::string, std::string> domain_by_id_;
    std::map<std::string, rollout::rollout> daemons_;
    std::map<std::string, std::uint64_t> open_watches_;
    std::string store_text_;
    store::change_index store_index_;
    std::size_t store_reads_ = 0;
    std::size_t store_restores_ = 0;
};

constexpr std::size_t fleet_size = 60;

void run_ticks(fleet& members, int ticks)
{
    for (int tick = 0; tick < ticks; ++tick)
        members.step(100ms);
}

} // namespace

TEST_CASE("a lower version is never adopted", "[rollout]")
{
    rollout::rollout daemon("a", "d", 1);
    REQUIRE(actions_of_type<rollout::adopt>(
                daemon.on_document(document_text(5, "five"), start))
                .size() == 1);
    const std::string older = document_text(4, "four");
    const std::string encoded =
        rollout::encode(rollout::make_transfer("", 0, older, 4));
    CHECK(daemon.on_document(older, start).empty());
    CHECK(actions_of_type<rollout::adopt>(
              with_builds(daemon, daemon.on_store_answer(older, {9}, start)))
              .empty());
    CHECK(actions_of_type<rollout::adopt>(
              with_builds(daemon, daemon.on_transfer(encoded, "b", start)))
              .empty());
    CHECK(daemon.version() == 5);
    CHECK(daemon.counters().reversions_refused == 3);
    CHECK(daemon.counters().reversions_adopted == 0);
}

// Guards against a member that joins with a version that was replaced before it
// started, since it asks a peer that is behind.
TEST_CASE("of several newer versions the newest is fetched", "[rollout]")
{
    struct row
    {
        const char* name;
        std::uint64_t held;
    };
    const row rows[] = {{"a member that joins", 0}, {"one that is behind", 3}};
    for (const row& test_case : rows) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            INFO(test_case.name << ", seed " << seed);
            rollout::rollout daemon("a", "d", seed);
            if (test_case.held != 0)
                (void)daemon.on_document(document_text(test_case.held, "held"),
                                         start);
            for (const auto& [peer, version] :
                 {std::pair("b", 8), std::pair("c", 13), std::pair("e", 11)})
                daemon.on_member(record_of(peer, "d", version), start);
            const auto pulls = actions_of_type<rollout::pull_from_peer>(
                daemon.on_tick(start + 200ms));
            // A standby's check of a watcher may follow.
            REQUIRE_FALSE(pulls.empty());
            CHECK(pulls.front().peer == "c");
        }
    }
}

TEST_CASE("a change of another era is taken whatever its number", "[rollout]")
{
    struct row
    {
        const char* name;
        std::uint64_t version;
        store::change_index index;
        std::uint64_t version_in_force;
    };
    const row rows[] = {
        {"the known index", 6, {9, 1}, 5},
        {"the known number in another era", 6, {9, 2}, 6},
        {"a lower number in another era", 6, {3, 2}, 6},
        {"an older document in another era", 4, {9, 2}, 5},
    };
    for (const row& test_case : rows) {
        INFO(test_case.name);
        rollout::rollout daemon("a", "d", 1);
        daemon.on_tick(start);
        const auto opened =
            actions_of_type<rollout::watch_store>(daemon.on_tick(start + 5s));
        REQUIRE(opened.size() == 1);
        const auto next = actions_of_type<rollout::watch_store>(with_builds(
            daemon, daemon.on_watch_answer(opened.front().watch_number,
                                           document_text(5, "five"), {9, 1},
                                           start + 5s)));
        REQUIRE(next.size() == 1);
        with_builds(daemon, daemon.on_watch_answer(
                                next.front().watch_number,
                                document_text(test_case.version, "next"),
                                test_case.index, start + 6s));
        CHECK(daemon.version() == test_case.version_in_force);
        CHECK(daemon.counters().reversions_adopted == 0);
    }
}

TEST_CASE("a conflicting document with the version in force is not adopted",
          "[rollout]")
{
    rollout::rollout daemon("a", "d", 1);
    daemon.on_document(document_text(5, "five"), start);
    CHECK(daemon.on_document(document_text(5, "other"), start).empty());
    CHECK(daemon.built()->content.change_id() == "five");
    CHECK(daemon.counters().conflicts == 1);
    CHECK(daemon.on_document(document_text(5, "five"), start).empty());
    CHECK(daemon.counters().conflicts == 1);
}

TEST_CASE("an invalid document is counted and dropped", "[rollout]")
{
    rollout::rollout daemon("a", "d", 1);
    const std::string text = GENERATE(
        as<std::string>(), "", "{", "[]", R"({"version":9})",
        R"({"version":9,"change_id":"x","author":"","note":"","base":{},
            "overlays":{}})");
    CHECK(daemon.on_document(text, start).empty());
    CHECK(daemon.version() == 0);
    CHECK(daemon.counters().invalid == 1);
}

TEST_CASE("two members of each domain watch the store", "[rollout]")
{
    fleet members(GENERATE(8U, 24U, 60U));
    run_ticks(members, 30);
    CHECK(members.open_watches() == 4 * rollout::rollout::watchers_per_domain);
}

TEST_CASE(
    "a version written to the store reaches every member without further reads",
    "[rollout]")
{
    fleet members(fleet_size);
    members.loss_percent = GENERATE(0U, 20U);
    members.domain_without_watches = GENERATE(as<std::string>(), "", "d1");
    run_ticks(members, 30);
    const std::size_t reads = members.store_reads();
    for (std::uint64_t version = 1; version <= 5; ++version) {
        members.store_document(
            document_text(version, "c" + std::to_string(version)));
        run_ticks(members, 15);
        CHECK(members.count_at(version) == fleet_size);
    }
    CHECK(members.reversions() == 0);
    CHECK(members.store_reads() == reads);
}

TEST_CASE("a store with an older document gets the version in force",
          "[rollout]")
{
    fleet members(fleet_size);
    run_ticks(members, 30);
    members.store_document(document_text(1, "one"));
    members.store_document(document_text(2, "two"));
    run_ticks(members, 15);
    members.store_document(document_text(1, "one"));
    run_ticks(members, 15);
    CHECK(members.count_at(2) == fleet_size);
    CHECK(members.reversions() == 0);
    CHECK(members.restores() == 1);
}

TEST_CASE("a patch of another document leads to a pull", "[rollout]")
{
    rollout::rollout daemon("a", "d", 1);
    daemon.on_document(document_text(1, "one"), start);
    daemon.on_member(record_of("b", "d", 3), start);
    const std::string two = document_text(2, "two");
    const std::string three = document_text(3, "three");
    const auto patch = rollout::make_transfer(two, 2, three, 3);
    REQUIRE(patch.from.version == 2);
    const auto pulls = actions_of_type<rollout::pull_from_peer>(
        daemon.on_transfer(rollout::encode(patch), "b", start));
    REQUIRE(pulls.size() == 1);
    CHECK(pulls.front().current_id == daemon.current_id());
    const auto full = rollout::make_transfer("", 0, three, 3);
    with_builds(daemon,
                daemon.on_pull_answer("b", rollout::encode(full), start));
    CHECK(daemon.version() == 3);
}

TEST_CASE("an event of a wide document leaves its build to another thread",
          "[rollout]")
{
    const std::string text = document_text(5, "five");
    const std::string whole =
        rollout::encode(rollout::make_transfer("", 0, text, 5));
    using event =
        std::function<std::vector<rollout::action>(rollout::rollout&)>;
    const std::pair<const char*, event> rows[] = {
        {"a read of the store",
         [&](rollout::rollout& daemon) {
             return daemon.on_store_answer(text, {9, 1}, start);
         }},
        {"a transfer",
         [&](rollout::rollout& daemon) {
             return daemon.on_transfer(whole, "b", start);
         }},
    };
    for (const auto& [name, deliver] : rows) {
        INFO(name);
        rollout::rollout daemon("a", "d", 1);
        const auto actions = deliver(daemon);
        CHECK(actions_of_type<rollout::build_document>(actions).size() == 1);
        CHECK(actions_of_type<rollout::adopt>(actions).empty());
        CHECK(daemon.version() == 0);
        // The same document again is not built a second time.
        CHECK(
            actions_of_type<rollout::build_document>(deliver(daemon)).empty());
        with_builds(daemon, actions);
        CHECK(daemon.version() == 5);
        CHECK(
            actions_of_type<rollout::build_document>(deliver(daemon)).empty());
    }
}

TEST_CASE("versions do not queue behind the build of a wide one", "[rollout]")
{
    rollout::rollout daemon("a", "d", 1);
    const auto first =
        daemon.on_store_answer(document_text(1, "c1"), {1}, start);
    for (std::uint64_t version = 2; version <= 9; ++version) {
        const auto actions = daemon.on_store_answer(
            document_text(version, "c" + std::to_string(version)), {version},
            start);
        CHECK(actions_of_type<rollout::build_document>(actions).empty());
    }
    const auto all = with_builds(daemon, first);
    CHECK(daemon.version() == 9);
    CHECK(actions_of_type<rollout::build_document>(all).size() == 2);
}

TEST_CASE("a store that has a newer document waiting is not written back to",
          "[rollout]")
{
    rollout::rollout daemon("a", "d", 1);
    daemon.on_document(document_text(5, "five"), start);
    daemon.on_tick(start);
    const auto opened =
        actions_of_type<rollout::watch_store>(daemon.on_tick(start + 5s));
    REQUIRE(opened.size() == 1);
    const auto first =
        daemon.on_store_answer(document_text(4, "four"), {4}, start);
    daemon.on_store_answer(document_text(6, "six"), {6}, start);
    const auto all = with_builds(daemon, first);
    CHECK(daemon.version() == 6);
    CHECK(actions_of_type<rollout::restore_store>(all).empty());
}

TEST_CASE("a build that ends late or twice changes nothing", "[rollout]")
{
    rollout::rollout daemon("a", "d", 1);
    const auto asked = actions_of_type<rollout::build_document>(
        daemon.on_store_answer(document_text(1, "c1"), {1}, start));
    REQUIRE(asked.size() == 1);
    const auto built = rollout::build(*asked.front().input);
    const std::uint64_t number = asked.front().build_number;
    CHECK(daemon.on_built(number + 1, built, start).empty());
    CHECK(daemon.version() == 0);
    CHECK_FALSE(daemon.on_built(number, built, start).empty());
    CHECK(daemon.on_built(number, built, start).empty());
    CHECK(daemon.counters().adopted == 1);
}

TEST_CASE("a wide change is offered, a small one is pushed to peers that do "
          "not watch the store",
          "[rollout]")
{
    struct row
    {
        const char* name;
        std::size_t watchers;
        int padding_services;
        bool offered;
    };
    const row rows[] = {{"a small change", 0, 0, false},
                        {"a small change, all peers watch", 100, 0, true},
                        {"a wide change", 0, 400, true}};
    for (const row& test_case : rows) {
        INFO(test_case.name);
        rollout::rollout daemon("a", "d", 1, test_case.watchers);
        daemon.on_document(document_text(1, "one"), start);
        daemon.on_member(record_of("b", "d", 1), start);
        auto next = config::parse_document(document_text(2, "two")).value();
        for (int number = 0; number < test_case.padding_services; ++number) {
            next.base["services"].push_back(
                {{"name", "padding-" + std::to_string(number)},
                 {"routes", {{{"rank", "normal"}}}}});
        }
        const auto pushes = actions_of_type<rollout::push_to_peer>(
            daemon.on_document(config::serialize(next), start));
        REQUIRE(pushes.size() == 1);
        const auto sent = rollout::decode_transfer(pushes.front().encoded);
        REQUIRE(sent);
        CHECK(sent.value().is_offer() == test_case.offered);
        CHECK(sent.value().to == daemon.current_id());
        CHECK(pushes.front().encoded.size() <=
              rollout::rollout::max_pushed_bytes + 1000);
    }
}

TEST_CASE("an offer is fetched, after the store's answer had its time",
          "[rollout]")
{
    const bool watches = GENERATE(false, true);
    // Without a document nothing is served, so it is fetched at once.
    const bool has_document = GENERATE(true, false);
    CAPTURE(watches, has_document);
    rollout::rollout daemon("a", "d", 1, watches ? 1 : 0);
    if (has_document)
        daemon.on_document(document_text(1, "one"), start);
    daemon.on_tick(start);
    daemon.on_tick(start + 2s);
    daemon.on_member(record_of("b", "e", 0), start + 2s);
    const std::string offer =
        rollout::encode(rollout::transfer{{}, {7, "hash"}, {}});
    CHECK(actions_of_type<rollout::build_document>(
              daemon.on_transfer(offer, "b", start + 2s))
              .empty());
    const auto pulls_at = [&](support::milliseconds after) {
        return actions_of_type<rollout::pull_from_peer>(
                   daemon.on_tick(start + 2s + after))
            .size();
    };
    const bool waits = watches && has_document;
    CHECK(pulls_at(200ms) == (waits ? 0 : 1));
    CHECK(pulls_at(900ms) == (waits ? 1 : 0));
}

TEST_CASE("a peer that is several versions behind gets one patch", "[rollout]")
{
    rollout::rollout sender("a", "d", 1);
    rollout::rollout receiver("b", "d", 1);
    receiver.on_document(document_text(1, "c1"), start);
    for (std::uint64_t version = 1; version <= 4; ++version) {
        sender.on_document(
            document_text(version, "c" + std::to_string(version)), start);
    }
    const std::string encoded = sender.transfer_for(receiver.current_id());
    CHECK(rollout::decode_transfer(encoded).value().is_patch());
    with_builds(receiver, receiver.on_transfer(encoded, "a", start));
    CHECK(receiver.current_id() == sender.current_id());
}

TEST_CASE("without peers a failing store is read again with backoff",
          "[rollout]")
{
    rollout::rollout daemon("a", "d", 1);
    std::size_t reads = 0;
    for (auto now = start; now < start + 60s; now += 100ms) {
        for (const auto& action : daemon.on_tick(now)) {
            if (const auto* watch = std::get_if<rollout::watch_store>(&action))
                daemon.on_watch_failed(watch->watch_number, now);
            if (!std::holds_alternative<rollout::read_store>(action))
                continue;
            ++reads;
            daemon.on_store_unavailable(now);
        }
    }
    CHECK(reads >= 25);
    CHECK(reads <= 80);
}
