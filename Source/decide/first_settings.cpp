#include <decide/first_settings.hpp>

namespace bluebellspoke
{

// Load: all processes of a fleet start at once, and each knows the same few
// seeds. If all fetched from each seed while the store's first answers are on
// their way, the seeds' links would be full, and then the answers late.
bool may_fetch_first_settings(const first_settings_state& s,
                              time_point now) noexcept
{
    const bool has_waited = s.m_pending_fetches < max_first_fetches &&
                            now - s.m_last_fetch_at >= first_fetch_patience;
    if (s.m_pending_fetches > 0 && !has_waited)
        return false;
    return s.m_store_failed || now - s.m_started_at >= first_answer_timeout;
}

}
