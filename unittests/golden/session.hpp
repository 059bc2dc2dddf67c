/// \file
/// Whole sessions as text, compared with golden files in test/golden/.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace galenarudder::golden {

/// The lines that one session has printed so far.
class transcript
{
public:
    void line(std::string_view text);
    const std::string& text() const { return text_; }

private:
    std::string text_;
};

/// One session: the name of its golden file and the function that plays it.
struct session
{
    const char* name;
    void (*play)(transcript& out);
};

/// Every session, in the order of their names.
const std::vector<session>& sessions();

void play_refusals(transcript& out);
void play_link_messages(transcript& out);
void play_gate(transcript& out);
void play_call_flow(transcript& out);
void play_membership(transcript& out);
void play_configuration(transcript& out);
void play_decisions(transcript& out);

} // namespace galenarudder::golden
