#include "endpoint_question.hpp"

#include <memory>

#include <libpq-fe.h>

namespace bluebellspoke::support
{

namespace
{

struct pg_closer
{
    void operator()(PGconn* c) const
    {
        PQfinish(c);
    }
};

}

std::string refused_connections(const endpoint_node& e)
{
    const std::string target = "hostaddr=" + e.m_address.m_host +
                               " port=" + std::to_string(e.m_address.m_port) +
                               " user=t dbname=t sslmode=disable";
    const std::unique_ptr<PGconn, pg_closer> c(PQconnectdb(target.c_str()));
    PGresult* rows = PQexec(c.get(), "select * from standin.refused()");
    std::string count = PQntuples(rows) == 1 ? PQgetvalue(rows, 0, 0) : "";
    PQclear(rows);
    return count;
}

}
