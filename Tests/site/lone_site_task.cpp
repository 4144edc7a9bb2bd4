#include "lone_site_task.hpp"

#include <chrono>
#include <utility>

#include <task/boot_clock.hpp>

namespace bluebellspoke::support
{

namespace
{

constexpr std::chrono::milliseconds check_interval{10};
constexpr std::chrono::seconds longest_wait{10};

}

lone_site_task::lone_site_task(const site_settings& settings,
                               const site_codec& codec, store_factory store)
    : m_pause(m_loop,
              [this]
              {
                  stop(m_loop);
              }),
      m_settings(settings), m_codec(codec), m_store(std::move(store)),
      m_charts(load_site_charts(TEST_CHARTS))
{
    m_boxes.m_session.attach(m_loop,
                             [this](session_message& m)
                             {
                                 m_posted.push_back(std::move(m));
                             });
    m_boxes.m_life.attach(m_loop,
                          [this](life_message& m)
                          {
                              if (const auto* r =
                                      std::get_if<metrics_response>(&m))
                                  m_metrics = to_text(r->m_families);
                          });
    m_task = std::make_unique<task_thread>(
        "site",
        [this]
        {
            run_site_task(m_settings, m_codec, m_charts, m_store, m_boxes);
        });
}

lone_site_task::~lone_site_task()
{
    m_boxes.m_site.post(task_stop());
    m_task.reset();
}

bool lone_site_task::await(const std::function<bool()>& check)
{
    const time_point begin = boot_now();
    while (!check())
    {
        if (boot_now() - begin >= longest_wait)
            return false;
        m_pause.start_once(check_interval);
        run(m_loop);
    }
    return true;
}

const std::vector<session_message>& lone_site_task::posted() const
{
    return m_posted;
}

std::string lone_site_task::metrics()
{
    m_metrics.clear();
    m_boxes.m_site.post(metrics_request());
    await(
        [this]
        {
            return !m_metrics.empty();
        });
    return m_metrics;
}

}
