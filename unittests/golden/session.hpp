/// \file
/// Scripted sessions whose transcripts are compared with the golden files in
/// test/golden/.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::golden {

/// Collects the lines that a session prints.
class transcript
{
public:
    void line(std::string_view text);
    const std::string& text() const { return text_; }

private:
    std::string text_;
};

/// Names a session's golden file and the function that runs the session.
struct session
{
    const char* name;
    void (*play)(transcript& out);
};

/// Returns all sessions, sorted by name.
const std::vector<session>& sessions();

void play_refusals(transcript& out);
void play_link_messages(transcript& out);
void play_gate(transcript& out);
void play_call_flow(transcript& out);
void play_membership(transcript& out);
void play_configuration(transcript& out);
void play_decisions(transcript& out);

} // namespace galenarudder::golden
