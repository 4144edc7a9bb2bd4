#include <support/background_writer.hpp>

#include <thread>
#include <utility>
#include <variant>

#include <support/caller.hpp>
#include <task/mailbox.hpp>

namespace bluebellspoke::support
{

namespace
{

struct finish_wanted
{
};
using writer_message = std::variant<finish_wanted>;

constexpr std::size_t mailbox_size = 4;
constexpr unsigned most_attempts = 4;
constexpr int status_ok = 200;

}

struct background_writer::state
{
    explicit state(background_options options)
        : m_options(std::move(options)), m_loop(make_loop()),
          m_box(mailbox_size), m_next(m_loop,
                                      [this]
                                      {
                                          begin_write();
                                      })
    {
        for (const address& daemon : m_options.m_daemons)
            m_clients.push_back(std::make_unique<http2_client>(m_loop, daemon));
    }

    void begin_write();

    background_options m_options;
    loop m_loop;
    mailbox<writer_message> m_box;
    timer m_next;
    std::vector<std::unique_ptr<http2_client>> m_clients;
    std::vector<recorded_write> m_record;
    std::size_t m_under_way = 0;
    bool m_finishing = false;
    std::thread m_thread;
};

namespace
{

using nlohmann::json;
using writer_state = background_writer::state;

void end_one(writer_state& s)
{
    --s.m_under_way;
    if (s.m_finishing && s.m_under_way == 0)
        stop(s.m_loop);
}

http2_client& client(writer_state& s, std::size_t turn)
{
    return *s.m_clients[turn % s.m_clients.size()];
}

json write_body(const writer_state& s, const std::string& row)
{
    json body{{"kind", "write"},
              {"statement",
               "insert into " + s.m_options.m_table + " values ($1, $2)"},
              {"parameters", {row, "value of " + row}}};
    if (s.m_options.m_request_ids)
        body["request_id"] = row;
    return body;
}

json read_body(const writer_state& s, const std::string& row)
{
    return {{"statement",
             "select value from " + s.m_options.m_table + " where key = $1"},
            {"parameters", {row}}};
}

void take_read(writer_state& s, std::size_t index, const reply& r)
{
    recorded_write& written = s.m_record[index];
    if (r.m_status == status_ok)
    {
        const json rows = r.json().at("rows");
        written.m_stale = rows.empty();
        for (const json& row : rows)
            if (row.at(0) != "value of " + written.m_row)
                written.m_mixed = true;
    }
    end_one(s);
}

void read_back(writer_state& s, std::size_t index, const session& caller)
{
    client(s, index + 1)
        .send(statement_request(caller, read_body(s, s.m_record[index].m_row)),
              s.m_options.m_limit,
              [&s, index](http2_result& result)
              {
                  take_read(s, index, to_reply(result));
              });
}

void send_write(writer_state& s, std::size_t index, unsigned attempt);

void take_write(writer_state& s, std::size_t index, unsigned attempt,
                const reply& r)
{
    recorded_write& written = s.m_record[index];
    if (r.m_status == status_ok)
    {
        written.m_fate = write_fate::acknowledged;
        const std::string token(
            find_header(r.m_headers, "x-bluebellspoke-session"));
        if (s.m_options.m_read_back)
            read_back(s, index, {s.m_options.m_key, token});
        else
            end_one(s);
        return;
    }
    written.m_cut =
        written.m_cut || r.m_failure == http2_failure::connection_lost;
    // Once an attempt was left unknown, a later "not run" is of that attempt
    // alone.
    const bool none_ran =
        r.outcome() == "not_run" || r.m_failure == http2_failure::not_sent;
    if (!none_ran || written.m_fate == write_fate::unknown)
        written.m_fate = write_fate::unknown;
    else
        written.m_fate = write_fate::not_run;
    const bool again = s.m_options.m_request_ids && attempt < most_attempts &&
                       written.m_fate == write_fate::unknown;
    if (again)
        send_write(s, index, attempt + 1);
    else
        end_one(s);
}

void send_write(writer_state& s, std::size_t index, unsigned attempt)
{
    const session caller{s.m_options.m_key, {}};
    client(s, index + attempt)
        .send(statement_request(caller, write_body(s, s.m_record[index].m_row)),
              s.m_options.m_limit,
              [&s, index, attempt](http2_result& result)
              {
                  take_write(s, index, attempt, to_reply(result));
              });
}

void begin_finish(writer_state& s)
{
    s.m_finishing = true;
    s.m_next.cancel();
    if (s.m_under_way == 0)
        stop(s.m_loop);
}

}

void background_writer::state::begin_write()
{
    const std::size_t index = m_record.size();
    m_record.push_back({m_options.m_table + "-" + std::to_string(index),
                        write_fate::waiting, false, false, false});
    ++m_under_way;
    send_write(*this, index, 0);
}

background_writer::background_writer(background_options options)
    : m_state(std::make_unique<state>(std::move(options)))
{
    state& s = *m_state;
    s.m_box.attach(s.m_loop,
                   [&s](writer_message&)
                   {
                       begin_finish(s);
                   });
    s.m_next.start_periodic(s.m_options.m_period);
    s.m_thread = std::thread(
        [&s]
        {
            run(s.m_loop);
        });
}

background_writer::~background_writer()
{
    finish();
}

std::vector<recorded_write> background_writer::finish()
{
    if (m_state->m_thread.joinable())
    {
        m_state->m_box.post(finish_wanted());
        m_state->m_thread.join();
    }
    return m_state->m_record;
}

}
