// Calls whose callers leave before an upstream gets them: sessions on loopback
// with a gate and a store of the test.
#include "../../lib/organisations/key_index.hpp"
#include "galenarudder/link/message.hpp"
#include "galenarudder/organisations/message.hpp"
#include "galenarudder/proxy/caller_server.hpp"
#include "galenarudder/proxy/entry.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <map>

namespace galenarudder::proxy {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using support::run_outcome;

const config::endpoint callers{"127.2.2.204", 7898};

/// Holds attempts until the test or their cancellation ends them.
class held_gate final : public link::gate_interface
{
public:
    void submit(link::exchange_ptr attempt) override
    {
        submitted.push_back(std::move(attempt));
    }
    void cancel(link::exchange_ptr attempt) override
    {
        ++canceled;
        if (outcome_of_canceled)
            attempt->deliver(link::refused{{support::refusal_kind::canceled,
                                            *outcome_of_canceled,
                                            true,
                                            {},
                                            "canceled"},
                                           {}});
    }
    void answer(std::size_t number) const
    {
        support::response_head head;
        head.status = 200;
        head.content_length = 0;
        submitted[number]->response_body.try_write(
            link::make_chunk(std::string(), true));
        submitted[number]->deliver(link::answered{std::move(head), {}});
    }

    std::vector<link::exchange_ptr> submitted;
    std::size_t canceled = 0;
    /// What the gate states of an attempt when it is canceled, if anything.
    std::optional<run_outcome> outcome_of_canceled;
};

/// Only what claims need.
class memory_store final : public store::platform_store
{
public:
    explicit memory_store(asio::io_context& io) : io_(io) {}

    void get(const std::string& key,
             store::read_freshness,
             support::duration,
             store::callback<store::indexed_value> done) override
    {
        asio::post(io_, [done, value = values_[key]] { done(value); });
    }
    void compare_and_swap(const std::string& key,
                          std::string value,
                          const store::change_index& expected_index,
                          const std::string&,
                          support::duration,
                          store::callback<store::swap_outcome> done) override
    {
        store::indexed_value& stored = values_[key];
        const bool swaps = stored.index == expected_index;
        if (swaps) {
            stored.value = std::move(value);
            ++stored.index.number;
        }
        asio::post(io_, [done, swaps] {
            done(swaps ? store::swap_outcome::swapped
                       : store::swap_outcome::index_mismatch);
        });
    }
    void list(const std::string&,
              store::read_freshness,
              support::duration,
              store::callback<std::vector<store::listed_value>>) override
    {
    }
    void watch(const std::string&,
               const store::change_index&,
               support::duration,
               store::callback<store::indexed_value>) override
    {
    }
    void grant_lease(support::duration,
                     support::duration,
                     store::callback<std::string>) override
    {
    }
    void renew_lease(const std::string&,
                     support::duration,
                     store::callback<void>) override
    {
    }
    void revoke_lease(const std::string&,
                      support::duration,
                      store::callback<void>) override
    {
    }
    store::store_counters counters() const override { return {}; }

private:
    asio::io_context& io_;
    std::map<std::string, store::indexed_value> values_;
};

config::configuration two_organisations()
{
    config::configuration in_force = config::default_configuration();
    config::service_policy bookings;
    bookings.name = "bookings";
    const support::milliseconds deadline(5000);
    bookings.routes = {{"GET", "/", "normal", true, deadline, 0},
                       {"POST", "/", "normal", false, deadline, 1 << 20}};
    in_force.services = {bookings};
    for (const char* name : {"free", "limited"}) {
        config::organisation_policy policy;
        policy.name = name;
        policy.key_digests = {
            organisations::digest_of(std::string("key-") + name)};
        policy.calls_per_s = name == std::string("limited") ? 1000 : 0;
        in_force.organisations.push_back(
            std::make_shared<const config::organisation_policy>(policy));
    }
    in_force.organisation_keys =
        organisations::make_key_index(in_force.organisations);
    return in_force;
}

struct fixture
{
    fixture()
        : in_force(std::make_shared<const config::configuration>(
              two_organisations())),
          tested_entry(router,
                       in_force,
                       metrics,
                       [this](const routing::choice&) { return gate; }),
          server(io, tested_entry)
    {
        membership::member_record record;
        record.id = "gate";
        record.state = membership::member_state::alive;
        record.service = "bookings";
        record.slots = 9;
        router.on_record(record, support::monotonic_clock::now());
        limits = std::make_shared<organisation_limits>(
            limits_context{io.get_executor(), &in_force, &metrics, &decisions,
                           [this](const support::member_id& to,
                                  const std::string& payload) {
                               on_limit_message(to, payload);
                           }},
            "self", organisations::peer_expectation::none,
            organisations::tolerance{}, 1);
        limits->configure(*in_force.read());
        std::vector<membership::member_record> peers(20, record);
        for (std::size_t index = 0; index < peers.size(); ++index)
            peers[index].id = "peer" + std::to_string(index);
        limits->on_members(peers);
        tested_entry.set_organisation_limits(limits);
        claims = std::make_shared<keyed_calls>(io.get_executor(), store,
                                               metrics, "self");
        tested_entry.set_keyed_calls(claims);
        REQUIRE(server.listen(callers));
    }

    void on_limit_message(const support::member_id& to,
                          const std::string& payload)
    {
        const auto received = organisations::decode(payload);
        if (received->kind == organisations::message_kind::request)
            asked.emplace_back(to, *received);
    }

    /// Answers the first request for tokens as its owner would.
    void grant_tokens() const
    {
        auto [owner, reply] = asked.front();
        reply.kind = organisations::message_kind::reply;
        limits->on_message(owner, organisations::encode(reply));
    }

    tcp::socket connect()
    {
        tcp::socket caller(io);
        caller.connect({asio::ip::make_address(callers.address), callers.port});
        return caller;
    }

    void send(tcp::socket& caller,
              const std::string& method,
              const std::string& organisation,
              const std::string& field) const
    {
        const std::string body = method == "POST" ? "x" : "";
        asio::write(
            caller,
            asio::buffer(method +
                         " / HTTP/1.1\r\nHost: bookings\r\n"
                         "Authorization: " +
                         std::string(tested_entry.dialect().key_scheme) +
                         " key-" + organisation + "\r\n" + field +
                         "Content-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body));
    }

    template <typename Condition>
    bool run_until(Condition met,
                   support::duration timeout = std::chrono::seconds(5))
    {
        const auto end = support::monotonic_clock::now() + timeout;
        while (!met() && support::monotonic_clock::now() < end) {
            io.restart();
            io.run_one_for(std::chrono::milliseconds(5));
        }
        return met();
    }
    void run_for(support::duration time)
    {
        run_until([] { return false; }, time);
    }

    asio::io_context io{1};
    std::shared_ptr<held_gate> gate = std::make_shared<held_gate>();
    memory_store store{io};
    std::vector<std::pair<support::member_id, organisations::message>> asked;
    routing::router router{"bilbao"};
    support::rcu_cell<config::configuration> in_force;
    telemetry::metrics metrics;
    telemetry::decision_log decisions;
    std::shared_ptr<organisation_limits> limits;
    std::shared_ptr<keyed_calls> claims;
    entry tested_entry;
    caller_server server;
};

} // namespace

// Guards against an attempt that is sent and canceled at once, since nobody
// waits for its response.
TEST_CASE("a call that lost its caller while a limit was asked is not sent")
{
    const bool caller_leaves = GENERATE(true, false);
    CAPTURE(caller_leaves);
    fixture given;
    tcp::socket caller = given.connect();
    const std::size_t sent_before = caller_leaves ? 0 : 1;
    if (!caller_leaves)
        given.send(caller, "GET", "free", "Connection: close\r\n");
    given.send(caller, "GET", "limited", "");
    REQUIRE(given.run_until([&] {
        return !given.asked.empty() &&
               given.gate->submitted.size() == sent_before;
    }));
    if (caller_leaves) {
        caller.close();
    } else {
        given.gate->answer(0);
        REQUIRE(
            given.run_until([&] { return given.server.open_calls() == 1; }));
    }
    given.grant_tokens();
    given.run_for(std::chrono::milliseconds(100));
    CHECK(given.gate->submitted.size() == sent_before);
    CHECK(given.gate->canceled == 0);
    CHECK(given.server.open_calls() == 0);
}

// Guards against a key that stays taken although its call was never sent, and
// against one that becomes free although the call may run.
TEST_CASE("a canceled call frees its key only if no attempt can have run")
{
    enum class ending
    {
        not_run,
        unknown,
        answered
    };
    const auto [how, second_is_sent] = GENERATE(table<ending, bool>({
        {ending::not_run, true},
        {ending::unknown, false},
        {ending::answered, false},
    }));
    CAPTURE(static_cast<int>(how));
    fixture given;
    if (how != ending::answered)
        given.gate->outcome_of_canceled = how == ending::not_run
                                              ? run_outcome::not_run
                                              : run_outcome::unknown;
    const char* key = "Idempotency-Key: k1\r\n";
    tcp::socket caller = given.connect();
    given.send(caller, "POST", "free", key);
    REQUIRE(given.run_until([&] { return given.gate->submitted.size() == 1; }));
    caller.close();
    REQUIRE(given.run_until([&] { return given.gate->canceled == 1; }));
    if (how == ending::answered)
        given.gate->answer(0);
    REQUIRE(given.run_until([&] {
        return given.server.open_calls() == 0 && !given.claims->pending();
    }));
    given.run_for(std::chrono::milliseconds(50));
    tcp::socket again = given.connect();
    given.send(again, "POST", "free", key);
    given.run_until([&] {
        return given.gate->submitted.size() == 2 || again.available() != 0;
    });
    CHECK((given.gate->submitted.size() == 2) == second_is_sent);
}

} // namespace galenarudder::proxy
