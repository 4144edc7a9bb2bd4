#ifndef BLUEBELLSPOKE_LOAD_PROCESS_USAGE_HPP
#define BLUEBELLSPOKE_LOAD_PROCESS_USAGE_HPP

#include <string_view>
#include <sys/types.h>

namespace bluebellspoke::load
{

/// Processor time of a process so far, in seconds; of the thread with this
/// name only, unless it is empty.
double processor_seconds(pid_t process, std::string_view thread = {});
/// Resident memory in bytes.
double resident_bytes(pid_t process);
/// Bytes read and written so far, by read and write calls of any kind; what
/// goes by recv and send (libpq) isn't in it.
double transferred_bytes(pid_t process);

}

#endif
