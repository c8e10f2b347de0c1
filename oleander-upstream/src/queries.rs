//! The queries of a connection, each alone and without a time limit.

use oleander_core::statement::Rows;
use oleander_core::statement::Statement;
use oleander_core::terms::InstanceStatus;
use tokio_postgres::types::ToSql;
use tokio_postgres::types::Type;

use crate::connection::Connection;
use crate::contract;
use crate::errors::Error;
use crate::errors::Result;
use crate::guard;
use crate::values;

impl Connection {
    /// Sets the workspace if the connection has none.
    pub(crate) async fn identify(&self, workspace: &str) -> Result<()> {
        if self.workspace.is_some() {
            return Ok(());
        }
        let parameters = [(&workspace as &(dyn ToSql + Sync), Type::TEXT)];
        let set = self.client().query_typed(contract::WORKSPACE_SQL, &parameters).await;
        match set.map_err(Error::from) {
            Ok(_) => Ok(()),
            Err(lost @ Error::Lost(_)) => Err(lost),
            Err(error) => Err(Error::Identity(error.to_string())),
        }
    }

    pub(crate) async fn ask_status(&self) -> Result<InstanceStatus> {
        let parameters: [(values::Parameter<'_>, Type); 0] = [];
        let stream = self.client().query_typed_raw(contract::STATUS_SQL, parameters).await?;
        values::status(&values::collect(stream, self.limit).await?)
    }

    pub(crate) async fn run(&self, statement: &Statement) -> Result<Rows> {
        let parameters = values::parameters(statement);
        let stream = self.client().query_typed_raw(&statement.sql, parameters).await?;
        let mut rows = values::collect(stream, self.limit).await?;
        if !guard::changes_rows(&statement.sql) {
            rows.affected = 0;
        }
        Ok(rows)
    }

    pub(crate) async fn control(&self, sql: &'static str) -> Result<()> {
        self.client().query_typed(sql, &[]).await?;
        Ok(())
    }
}
