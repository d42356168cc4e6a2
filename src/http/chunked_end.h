// Tells from the end of what has arrived of a message in chunks whether the message may be whole, without
// parsing what comes before.
#pragma once

#include <string_view>

namespace puffinvane {

// tail: the last bytes that have arrived, from anywhere within the message on. False only if the message
// can't end there: it ends with the last chunk or a trailer, and an empty line (RFC 9112, section 7.1). Lines
// of a body that look like a trailer make it true by mistake.
bool may_end_chunked_message(std::string_view tail);

}  // namespace puffinvane
