/** Finds the route of a request by host and path prefix. */
import type * as routingTable from './routing-table.js';

type Route = routingTable.Route;
type RoutesByHost = ReadonlyMap<string, readonly Route[]>;

const indexes = new WeakMap<routingTable.RoutingTable, RoutesByHost>();

const indexByHost = (table: routingTable.RoutingTable): RoutesByHost => {
  const byHost = new Map<string, Route[]>();
  for (const route of table.routes) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
};

const indexOf = (table: routingTable.RoutingTable): RoutesByHost => {
  const known = indexes.get(table);
  if (known) {
    return known;
  }
  const created = indexByHost(table);
  indexes.set(table, created);
  return created;
};

/**
 * The route of the host with the longest prefix that matches the path;
 * undefined if none matches.
 */
export const findRoute = (
  table: routingTable.RoutingTable,
  host: string,
  path: string,
): Route | undefined =>
  indexOf(table)
    .get(host)
    ?.find(route => path.startsWith(route.pathPrefix));
