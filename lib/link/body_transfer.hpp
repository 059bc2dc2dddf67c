/// \file
/// Flow control of bodies on a link with two windows: one for each body, so
/// that a slow reader does not exhaust memory, and one for each link, so that
/// large bodies do not delay small messages.
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

/// Encodes and sends a message. Safe from any thread.
void send_message(websocket_endpoint& endpoint,
                  connection_id connection,
                  const message& outgoing);

class body_sender;

/// The sender's side of a link's window.
class link_send_window
{
public:
    /// Returns whether \p size bytes may be sent now.
    bool has_room(std::size_t size) const { return available_bytes_ >= size; }
    /// Takes \p size bytes out of the window.
    void take(std::size_t size) { available_bytes_ -= size; }
    /// Wakes \p sender when the next credit arrives.
    void wake_on_credit(std::shared_ptr<body_sender> sender);
    /// Adds credit from the peer and wakes the waiting senders.
    void on_credit(std::size_t size);

private:
    std::size_t available_bytes_ = link_window_bytes;
    std::vector<std::shared_ptr<body_sender>> waiting_;
};

/// The receiver's side of a link's window.
class link_receive_window
{
public:
    /// Counts a received part. Returns false if the peer exceeded the window.
    bool on_received(const body_part& part);
    /// Returns the credit to send now and counts it as sent; 0 if there is too
    /// little to send.
    std::size_t take_due_credit();

private:
    std::size_t uncredited_bytes_ = 0;
};

/// The receiver's side of a body's window: counts what was received and not yet
/// read. on_received runs on the link's strand, on_consumed on the reader's
/// thread.
class body_receive_window
{
public:
    /// Counts a received part of \p size bytes. Returns false if the peer
    /// exceeded the window.
    bool on_received(std::size_t size);
    /// Counts a part of \p size bytes that was read. Returns the credit to send
    /// now and counts it as sent; 0 if there is too little to send.
    std::size_t on_consumed(std::size_t size);

private:
    std::atomic<std::int64_t> available_bytes_{
        static_cast<std::int64_t>(body_window_bytes)};
    std::atomic<std::size_t> uncredited_bytes_{0};
};

/// Makes \p pipe send credit to the peer as it is read.
void send_credit_on_read(const std::weak_ptr<websocket_endpoint>& endpoint,
                         connection_id connection,
                         support::attempt_id id,
                         body_pipe& pipe,
                         const std::shared_ptr<body_receive_window>& window);

/// The beginning of a body, as far as it is available without waiting.
struct available_body
{
    std::string data;
    bool complete = false;
};

/// Reads the chunks that are already in \p pipe, up to the size of a small
/// body.
available_body take_available(body_pipe& pipe);

/// The call and link to which a body is sent.
struct body_target
{
    std::shared_ptr<websocket_endpoint> endpoint;
    connection_id connection = 0;
    support::attempt_id id{};
    std::shared_ptr<link_send_window> window;
};

/// Sends one body as its windows allow. All functions must be called on the
/// link's strand.
class body_sender : public std::enable_shared_from_this<body_sender>
{
public:
    /// Sends the body that \p pipe of \p attempt delivers. \p on_end is called
    /// at the end unless the sender was stopped; its argument tells whether the
    /// body was sent completely.
    body_sender(const link_strand& executor,
                body_target target,
                exchange_ptr attempt,
                body_pipe exchange::*pipe,
                std::function<void(bool complete)> on_end);

    /// Sends \p initial_data, then the chunks of the pipe.
    void start(std::string initial_data);
    void stop();
    /// Adds credit from the peer to the body's window.
    void on_credit(std::size_t bytes);
    /// Tries to send again after the link's window received credit.
    void wake();

private:
    boost::asio::awaitable<void> run(body_chunk first);
    boost::asio::awaitable<bool> send(body_chunk& chunk);
    bool may_send(std::size_t size);
    void send_part(body_chunk& chunk);
    /// Returns whether a part of \p size bytes counts against the link's
    /// window.
    bool uses_link_window(std::size_t size) const
    {
        return sent_bytes_ + size > small_body_bytes;
    }

    link_strand executor_;
    body_target target_;
    exchange_ptr attempt_;
    body_pipe exchange::*pipe_;
    std::function<void(bool)> on_end_;
    /// Never expires; canceled to wake send().
    boost::asio::steady_timer credit_signal_;
    std::size_t available_bytes_ = body_window_bytes;
    std::size_t sent_bytes_ = 0;
    bool stopped_ = false;
};

} // namespace galenarudder::link
