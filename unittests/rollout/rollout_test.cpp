// The configuration spreads, and never goes back, whatever the store and the
// peers say.
#include "galenarudder/rollout/rollout.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <utility>

using namespace galenarudder;
using namespace std::chrono_literals;

namespace {

const support::time_point start{};

std::string document_text(std::uint64_t version, const std::string& change)
{
    config::document whole;
    whole.version = version;
    whole.change_id = change;
    whole.author = "ana";
    whole.base = nlohmann::json::parse(R"({
      "format": "galenarudder-base-1",
      "ranks": [{"name": "urgent"}, {"name": "normal"}, {"name": "bulk"}],
      "services": []})");
    for (int number = 0; number < 20; ++number) {
        whole.base["services"].push_back(
            {{"name", "service-" + std::to_string(number)},
             {"routes", {{{"rank", "normal"}}}}});
    }
    return config::serialize(whole);
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
std::vector<Kind> only(const std::vector<rollout::action>& actions)
{
    std::vector<Kind> kept;
    for (const rollout::action& action : actions) {
        if (const auto* one = std::get_if<Kind>(&action))
            kept.push_back(*one);
    }
    return kept;
}

/// Machines whose pushes and pulls reach each other unless lost; the store
/// answers watches of those that \c sees_store admits.
class fleet
{
public:
    explicit fleet(std::size_t size)
    {
        constexpr std::size_t domains = 4;
        for (std::size_t number = 0; number < size; ++number) {
            const std::string id = "m" + std::to_string(number);
            domain_[id] = "d" + std::to_string(number % domains);
            machines_.try_emplace(id, id, domain_[id], number);
        }
        spread_versions();
    }

    void step(support::milliseconds span)
    {
        now_ += span;
        for (auto& [id, machine] : machines_)
            perform(id, machine.on_tick(now_));
        spread_versions();
    }
    /// Accepts \p text in the store and answers open watches.
    void accept(const std::string& text)
    {
        ++index_;
        stored_ = text;
        const auto open = std::exchange(watches_, {});
        for (const auto& [id, watch] : open) {
            perform(id, machines_.at(id).on_watch_answer(watch, stored_, index_,
                                                         now_));
        }
    }
    std::size_t count_at(std::uint64_t version) const
    {
        std::size_t count = 0;
        for (const auto& [id, machine] : machines_)
            count += machine.version() == version ? 1 : 0;
        return count;
    }
    std::size_t reversions() const
    {
        std::size_t count = 0;
        for (const auto& [id, machine] : machines_)
            count += machine.counters().reversions_adopted;
        return count;
    }
    std::size_t watches() const { return watches_.size(); }
    std::size_t store_reads() const { return reads_; }
    std::size_t restores() const { return restores_; }

    std::uint64_t loss_percent = 0;
    std::string blind_domain;

private:
    void spread_versions()
    {
        for (auto& [id, machine] : machines_) {
            for (const auto& [other, known] : machines_) {
                machine.on_member(
                    record_of(other, domain_.at(other), known.version()), now_);
            }
            machine.on_word(now_);
        }
    }
    bool lost() { return support::uniform_below(random_, 100) < loss_percent; }
    void perform(const std::string& id,
                 const std::vector<rollout::action>& actions)
    {
        for (const rollout::action& action : actions)
            std::visit([&](const auto& what) { execute(id, what); }, action);
    }
    void execute(const std::string&, const rollout::adopt&) {}
    void execute(const std::string& id, const rollout::read_store&)
    {
        ++reads_;
        perform(id, machines_.at(id).on_store_answer(stored_, index_, now_));
    }
    void execute(const std::string& id, const rollout::watch_store& what)
    {
        if (domain_.at(id) == blind_domain)
            return;
        watches_[id] = what.watch;
    }
    void execute(const std::string&, const rollout::restore_store& what)
    {
        if (what.expected_index != index_)
            return;
        ++restores_;
        accept(what.stored);
    }
    void execute(const std::string& id, const rollout::push_to_peer& what)
    {
        if (lost()) {
            perform(id, machines_.at(id).on_push_failed(what.peer, now_));
            return;
        }
        perform(what.peer,
                machines_.at(what.peer).on_transfer(what.encoded, id, now_));
    }
    void execute(const std::string& id, const rollout::pull_from_peer& what)
    {
        rollout::rollout& machine = machines_.at(id);
        if (lost()) {
            perform(id, machine.on_pull_failed(what.peer, now_));
            return;
        }
        const std::string answer =
            machines_.at(what.peer).transfer_for(what.held);
        perform(id, machine.on_pull_answer(what.peer, answer, now_));
    }

    support::time_point now_ = start;
    support::random_engine random_{11};
    std::map<std::string, std::string> domain_;
    std::map<std::string, rollout::rollout> machines_;
    std::map<std::string, std::uint64_t> watches_;
    std::string stored_;
    std::uint64_t index_ = 0;
    std::size_t reads_ = 0;
    std::size_t restores_ = 0;
};

constexpr std::size_t fleet_size = 60;

void settle(fleet& all, int ticks)
{
    for (int tick = 0; tick < ticks; ++tick)
        all.step(100ms);
}

} // namespace

TEST_CASE("a lower version is never adopted", "[rollout]")
{
    rollout::rollout machine("a", "d", 1);
    REQUIRE(only<rollout::adopt>(
                machine.on_document(document_text(5, "five"), start))
                .size() == 1);
    const std::string older = document_text(4, "four");
    const std::string encoded =
        rollout::encode(rollout::make_transfer("", 0, older, 4));
    CHECK(machine.on_document(older, start).empty());
    CHECK(
        only<rollout::adopt>(machine.on_store_answer(older, 9, start)).empty());
    CHECK(
        only<rollout::adopt>(machine.on_transfer(encoded, "b", start)).empty());
    CHECK(machine.version() == 5);
    CHECK(machine.counters().reversions_refused == 3);
    CHECK(machine.counters().reversions_adopted == 0);
}

TEST_CASE("the same version with another change never flips", "[rollout]")
{
    rollout::rollout machine("a", "d", 1);
    machine.on_document(document_text(5, "five"), start);
    CHECK(machine.on_document(document_text(5, "other"), start).empty());
    CHECK(machine.current()->change_id == "five");
    CHECK(machine.counters().conflicts == 1);
    CHECK(machine.on_document(document_text(5, "five"), start).empty());
    CHECK(machine.counters().conflicts == 1);
}

TEST_CASE("an invalid document is counted and dropped", "[rollout]")
{
    rollout::rollout machine("a", "d", 1);
    const std::string text = GENERATE(
        as<std::string>(), "", "{", "[]", R"({"version":9})",
        R"({"version":9,"change_id":"x","author":"","note":"","base":{},
            "overlays":{}})");
    CHECK(machine.on_document(text, start).empty());
    CHECK(machine.version() == 0);
    CHECK(machine.counters().invalid == 1);
}

TEST_CASE("two members of each domain watch the store", "[rollout]")
{
    fleet all(GENERATE(8U, 24U, 60U));
    settle(all, 30);
    CHECK(all.watches() == 4 * rollout::rollout::watchers_per_domain);
}

TEST_CASE("an accepted version reaches every member", "[rollout]")
{
    fleet all(fleet_size);
    all.loss_percent = GENERATE(0U, 20U);
    all.blind_domain = GENERATE(as<std::string>(), "", "d1");
    settle(all, 30);
    const std::size_t reads = all.store_reads();
    for (std::uint64_t version = 1; version <= 5; ++version) {
        all.accept(document_text(version, "c" + std::to_string(version)));
        settle(all, 15);
        CHECK(all.count_at(version) == fleet_size);
    }
    CHECK(all.reversions() == 0);
    CHECK(all.store_reads() == reads);
}

TEST_CASE("a store set back gets the version in force again", "[rollout]")
{
    fleet all(fleet_size);
    settle(all, 30);
    all.accept(document_text(1, "one"));
    all.accept(document_text(2, "two"));
    settle(all, 15);
    all.accept(document_text(1, "one"));
    settle(all, 15);
    CHECK(all.count_at(2) == fleet_size);
    CHECK(all.reversions() == 0);
    CHECK(all.restores() == 1);
}

TEST_CASE("a patch against another base leads to a pull", "[rollout]")
{
    rollout::rollout machine("a", "d", 1);
    machine.on_document(document_text(1, "one"), start);
    machine.on_member(record_of("b", "d", 3), start);
    const std::string two = document_text(2, "two");
    const std::string three = document_text(3, "three");
    const auto patch = rollout::make_transfer(two, 2, three, 3);
    REQUIRE(patch.from.version == 2);
    const auto pulls = only<rollout::pull_from_peer>(
        machine.on_transfer(rollout::encode(patch), "b", start));
    REQUIRE(pulls.size() == 1);
    CHECK(pulls.front().held == machine.held());
    const auto whole = rollout::make_transfer("", 0, three, 3);
    machine.on_pull_answer("b", rollout::encode(whole), start);
    CHECK(machine.version() == 3);
}

TEST_CASE("silence and a failing store lead to reads with pauses", "[rollout]")
{
    rollout::rollout machine("a", "d", 1);
    std::size_t reads = 0;
    for (auto now = start; now < start + 60s; now += 100ms) {
        for (const auto& action : machine.on_tick(now)) {
            if (const auto* watch = std::get_if<rollout::watch_store>(&action))
                machine.on_watch_failed(watch->watch, now);
            if (!std::holds_alternative<rollout::read_store>(action))
                continue;
            ++reads;
            machine.on_store_unavailable(now);
        }
    }
    CHECK(reads >= 25);
    CHECK(reads <= 80);
}
