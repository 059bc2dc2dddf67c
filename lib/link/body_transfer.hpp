/// \file
/// Sends and receives bodies over a link inside two windows: one for each
/// body, so that a slow reader does not fill memory, and one for each link,
/// so that large bodies do not delay small messages.
#pragma once

#include "galenarudder/link/exchange.hpp"
#include "galenarudder/link/message.hpp"
#include "galenarudder/link/websocket_endpoint.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace galenarudder::link {

using link_strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// Encodes and sends; safe from any thread.
void send_message(websocket_endpoint& endpoint,
                  connection_id connection,
                  const message& outgoing);

class body_sender;

/// The sending side of a link's window.
class link_window
{
public:
    bool has_room(std::size_t size) const { return room_ >= size; }
    void take(std::size_t size) { room_ -= size; }
    /// Wakes \p sender when room comes back.
    void wait(std::shared_ptr<body_sender> sender);
    void on_credit(std::size_t size);

private:
    std::size_t room_ = link_window_bytes;
    std::vector<std::shared_ptr<body_sender>> waiting_;
};

/// The receiving side of a link's window.
class link_receiver
{
public:
    /// Counts a part; false when the peer sent more than it may.
    bool take(const body_part& part);
    /// Credit that is due, or 0.
    std::size_t due_credit();

private:
    std::size_t under_way_ = 0;
};

/// What one side has received of a body and not yet read. Credit is returned
/// by the reader, on its own thread.
class receive_window
{
public:
    /// Counts a part; false when the peer sent more than it may.
    bool take(std::size_t size);
    /// The reader took a part; returns the credit to send, or 0.
    std::size_t on_consumed(std::size_t size);

private:
    std::atomic<std::int64_t> room_{
        static_cast<std::int64_t>(body_window_bytes)};
    std::atomic<std::size_t> owed_{0};
};

/// Returns credit to the peer as \p pipe is read.
void return_credit(const std::weak_ptr<websocket_endpoint>& endpoint,
                   connection_id connection,
                   support::call_id id,
                   body_pipe& pipe,
                   const std::shared_ptr<receive_window>& window);

/// What of a body was there at once.
struct ready_body
{
    std::string data;
    bool complete = false;
};

/// Takes what \p pipe holds already, up to a small body.
ready_body take_ready(body_pipe& pipe);

/// Where a body goes.
struct body_target
{
    std::shared_ptr<websocket_endpoint> endpoint;
    connection_id connection = 0;
    support::call_id id{};
    std::shared_ptr<link_window> window;
};

/// Sends one body; all calls on the link's strand.
class body_sender : public std::enable_shared_from_this<body_sender>
{
public:
    /// \p ended is called with whether the body was sent whole, unless the
    /// sender was stopped.
    body_sender(const link_strand& executor,
                body_target target,
                exchange_ptr attempt,
                body_pipe exchange::*pipe,
                std::function<void(bool whole)> ended);

    /// Sends \p ahead, then what comes by the pipe.
    void start(std::string ahead);
    void stop();
    void on_credit(std::size_t bytes);
    /// Tries again after the link's window got room.
    void wake();

private:
    boost::asio::awaitable<void> run(body_chunk first);
    boost::asio::awaitable<bool> send(body_chunk& chunk);
    bool may_send(std::size_t size);
    void send_now(body_chunk& chunk);
    bool is_counted(std::size_t size) const
    {
        return sent_ + size > small_body_bytes;
    }

    link_strand executor_;
    body_target target_;
    exchange_ptr attempt_;
    body_pipe exchange::*pipe_;
    std::function<void(bool)> ended_;
    boost::asio::steady_timer room_came_;
    std::size_t credit_ = body_window_bytes;
    std::size_t sent_ = 0;
    bool stopped_ = false;
};

} // namespace galenarudder::link
